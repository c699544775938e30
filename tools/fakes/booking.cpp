#include "booking.hpp"

#include <map>
#include <mutex>
#include <thread>

#include "announcer.hpp"
#include "command.hpp"

namespace lagoonladder::fakes
{

namespace
{

struct booking_record
{
    std::uint64_t number = 0;
    std::uint64_t executions = 0;
};

/// Counts the executions of each key. Thread-safe.
class booking_ledger
{
public:
    booking_record execute(std::string const& key)
    {
        std::lock_guard<std::mutex> const lock(this->mutex);
        auto& record = this->records[key];
        if (record.executions++ == 0)
            record.number = ++this->last_number;
        return record;
    }

    std::optional<booking_record> find(std::string const& key) const
    {
        std::lock_guard<std::mutex> const lock(this->mutex);
        auto const position = this->records.find(key);
        return position == this->records.end() ? std::nullopt : std::optional(position->second);
    }

    nlohmann::json stats() const
    {
        std::lock_guard<std::mutex> const lock(this->mutex);
        auto executions = nlohmann::json::object();
        std::uint64_t duplicates = 0;
        for (auto const& [key, record] : this->records)
        {
            executions[key] = record.executions;
            duplicates += record.executions > 1 ? 1 : 0;
        }
        return {{"executions", executions}, {"doubles", duplicates}};
    }

private:
    mutable std::mutex mutex;
    std::map<std::string, booking_record> records;
    std::uint64_t last_number = 0;
};

/// Plain service that records how often each call is executed.
class booking_service
{
public:
    explicit booking_service(endpoint_options const& initial);
    int run();

private:
    void execute(httplib::Request const& request, httplib::Response& response);
    std::string key_of(httplib::Request const& request);
    void look_up(httplib::Request const& request, httplib::Response& response);

    endpoint_options options;
    http_service service;
    booking_ledger ledger;
    std::atomic<std::uint64_t> next_key = 1;
    announcer announcements;
};

booking_service::booking_service(endpoint_options const& initial)
    : options(initial)
    , service(initial.listen)
    , announcements(initial,
                    [this](nlohmann::json& row)
                    {
                        row["load"] = {{"running", this->service.open_requests.load()},
                                       {"waiting", 0},
                                       {"slots", 64},
                                       {"tokens_per_second", 0.0}};
                    })
{
    auto& server = this->service.server;
    for (auto const* path : {"/bookings", "/renewals", "/pour-orders"})
        server.Post(path, [this](auto const& request, auto& response)
                    { this->execute(request, response); });
    server.Get(R"(/bookings/([^/]+))",
               [this](auto const& request, auto& response) { this->look_up(request, response); });
    server.Get(
        "/status",
        [this](auto const& request, auto& response)
        {
            if (this->service.faults.draw_failure(request.path))
                return answer_json(response, 500, {{"detail", "injected failure"}});
            answer_json(response, 200, {{"status", "open"}, {"version", this->options.version}});
        });
    server.Get("/v1/stats", [this](auto const&, auto& response)
               { answer_json(response, 200, this->ledger.stats()); });
}

int booking_service::run()
{
    this->announcements.start();
    return this->service.run(
        [this] { drain_endpoint(this->service, this->announcements, this->options.leave_grace); });
}

std::string booking_service::key_of(httplib::Request const& request)
{
    if (request.has_header("Idempotency-Key"))
        return request.get_header_value("Idempotency-Key");
    auto const body = nlohmann::json::parse(request.body, nullptr, false);
    if (body.is_object() && body.contains("key"))
        return body.at("key").get<std::string>();
    return "no-key-" + std::to_string(this->next_key++);
}

void booking_service::execute(httplib::Request const& request, httplib::Response& response)
{
    open_request_guard const guard(this->service);
    auto& faults = this->service.faults;
    if (faults.draw_failure(request.path))
        return answer_json(response, 500, {{"detail", "injected failure"}});
    auto const key = this->key_of(request);
    auto const record = this->ledger.execute(key);
    if (faults.closes_after_execution(request.path))
        return close_connection(request);
    std::this_thread::sleep_for(faults.answer_delay(request.path));
    faults.wait_while_silent([] { return true; });
    answer_json(response, 201,
                {{"number", record.number}, {"key", key}, {"version", this->options.version}});
}

void booking_service::look_up(httplib::Request const& request, httplib::Response& response)
{
    if (this->service.faults.draw_failure(request.path))
        return answer_json(response, 500, {{"detail", "injected failure"}});
    std::this_thread::sleep_for(this->service.faults.answer_delay(request.path));
    std::string const key = request.matches[1];
    auto const record = this->ledger.find(key);
    if (!record)
        return answer_json(response, 404, {{"detail", "no such key"}});
    answer_json(response, 200,
                {{"key", key}, {"number", record->number}, {"executions", record->executions}});
}

} // namespace

int run_booking(int argc, char** argv)
{
    TCLAP::CmdLine command("Fake plain service", ' ', "", false);
    endpoint_arguments endpoint(command);
    if (!parse_or_print_help(command, argc, argv))
        return 0;
    return booking_service(endpoint.parsed()).run();
}

} // namespace lagoonladder::fakes
