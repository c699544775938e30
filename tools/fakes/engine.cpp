#include "engine.hpp"

#include <thread>

#include "announcer.hpp"
#include "batch.hpp"
#include "command.hpp"
#include "http_service.hpp"
#include "kv_store.hpp"
#include "order_book.hpp"
#include "token_text.hpp"

namespace lagoonladder::fakes
{

namespace
{

constexpr auto keep_alive_interval = milliseconds(500);

/// The HTTP interface of one engine.
class engine
{
public:
    engine(endpoint_options const& initial, batch_options const& batching, duration load_time);
    int run();

private:
    void install_handlers();
    void complete(httplib::Request const& request, httplib::Response& response, bool is_chat);
    std::shared_ptr<generation_job> make_job(nlohmann::json const& body, std::string const& path);
    void send_stream(httplib::Response& response, std::shared_ptr<generation_job> const& job,
                     nlohmann::json const& body, bool is_chat, bool closes_early);
    bool write_tokens(httplib::DataSink& sink, generation_job& job, nlohmann::json const& body,
                      bool is_chat, std::uint64_t end);
    void send_whole(httplib::Response& response, generation_job& job, nlohmann::json const& body,
                    bool is_chat);
    void export_kv(nlohmann::json const& body, httplib::Response& response);
    void import_kv(nlohmann::json const& body, httplib::Response& response);
    void execute_order(nlohmann::json const& order);
    nlohmann::json stats();
    void drain();

    endpoint_options options;
    duration load_time;
    http_service service;
    batch jobs;
    kv_store kv;
    announcer announcements;
    order_book orders;
    std::atomic<std::uint64_t> next_id = 1;
};

engine::engine(endpoint_options const& initial, batch_options const& batching,
               duration initial_load_time)
    : options(initial)
    , load_time(initial_load_time)
    , service(initial.listen)
    , jobs(batching)
    , announcements(initial,
                    [this](nlohmann::json& announcement)
                    {
                        announcement["load"] = this->jobs.reported_load();
                        announcement["cache_events"] = this->jobs.take_cache_events();
                    })
    , orders(initial.checks_fencing,
             [this](nlohmann::json const& order) { this->execute_order(order); })
{
    this->install_handlers();
}

int engine::run()
{
    this->announcements.start();
    return this->service.run([this] { this->drain(); });
}

void engine::install_handlers()
{
    auto& server = this->service.server;
    server.Post("/v1/chat/completions", [this](auto const& request, auto& response)
                { this->complete(request, response, true); });
    server.Post("/v1/completions", [this](auto const& request, auto& response)
                { this->complete(request, response, false); });
    server.Post("/v1/cancel",
                [this](auto const& request, auto& response)
                {
                    auto const body = nlohmann::json::parse(request.body);
                    bool const found =
                        this->jobs.cancel(body.at("request_id").template get<std::string>());
                    answer_json(response, found ? 200 : 404, nlohmann::json::object());
                });
    server.Post("/v1/kv/export", [this](auto const& request, auto& response)
                { this->export_kv(nlohmann::json::parse(request.body), response); });
    server.Post("/v1/kv/import", [this](auto const& request, auto& response)
                { this->import_kv(nlohmann::json::parse(request.body), response); });
    server.Get(
        R"(/v1/kv/([^/]+))",
        [this](auto const& request, auto& response)
        {
            auto const entry = this->kv.find(request.matches[1]);
            if (!entry)
                return answer_json(response, 404, nlohmann::json::object());
            answer_json(response, 200, {{"prompt", entry->prompt}, {"tokens", entry->tokens}});
        });
    server.Get("/v1/load", [this](auto const&, auto& response)
               { answer_json(response, 200, this->jobs.reported_load()); });
    server.Get("/v1/stats",
               [this](auto const&, auto& response) { answer_json(response, 200, this->stats()); });
    this->orders.install(server);
}

void engine::complete(httplib::Request const& request, httplib::Response& response, bool is_chat)
{
    open_request_guard const guard(this->service);
    auto const body = nlohmann::json::parse(request.body);
    if (this->service.faults.draw_failure(request.path))
        return answer_json(response, 500, {{"error", {{"message", "injected failure"}}}});
    auto const job = this->make_job(body, request.path);
    this->jobs.submit(job);
    if (body.value("stream", false))
        this->send_stream(response, job, body, is_chat,
                          this->service.faults.draw_break(request.path));
    else
        this->send_whole(response, *job, body, is_chat);
    if (this->service.faults.is_silent())
        this->service.faults.wait_while_silent([] { return true; });
}

std::shared_ptr<generation_job> engine::make_job(nlohmann::json const& body,
                                                 std::string const& path)
{
    auto job = std::make_shared<generation_job>();
    job->id = body.value("request_id", this->options.id + "-" + std::to_string(this->next_id++));
    job->prompt = prompt_of(body);
    auto const priority = body.value("priority", nlohmann::json(0));
    job->priority = priority.is_number() ? priority.get<int>() : priority == "draft" ? 1 : 0;
    job->first_offset = body.value("resume_offset", std::uint64_t(0));
    job->end_offset = std::max(job->first_offset, body.value("max_tokens", std::uint64_t(16)));
    job->kv_tokens = this->kv.usable_tokens(body.value("kv_handle", ""), job->prompt);
    job->slow_factor = this->service.faults.slow_factor(path);
    return job;
}

nlohmann::json make_chunk(generation_job const& job, nlohmann::json const& body, bool is_chat,
                          std::uint64_t offset, std::string const& text, bool is_last)
{
    nlohmann::json choice{{"index", 0}, {"finish_reason", nullptr}};
    if (is_last)
        choice["finish_reason"] = "length";
    if (is_chat)
        choice["delta"] = {{"content", text}};
    else
        choice["text"] = text;
    return {{"id", job.id},
            {"object", is_chat ? "chat.completion.chunk" : "text_completion"},
            {"model", body.value("model", "")},
            {"choices", nlohmann::json::array({choice})},
            {"offset", offset}};
}

bool write(httplib::DataSink& sink, std::string const& text)
{
    return sink.write(text.data(), text.size());
}

bool engine::write_tokens(httplib::DataSink& sink, generation_job& job, nlohmann::json const& body,
                          bool is_chat, std::uint64_t end)
{
    auto const& faults = this->service.faults;
    auto offset = job.first_offset;
    while (offset < end)
    {
        auto const available = std::min(this->jobs.wait(job, offset, keep_alive_interval), end);
        faults.wait_while_silent([&] { return sink.is_writable(); });
        if (faults.is_silent() || this->jobs.is_cancelled(job))
            return false;
        if (available <= offset && !write(sink, ": keep-alive\n\n"))
            return false;
        for (; offset < available; ++offset)
        {
            auto const event =
                make_chunk(job, body, is_chat, offset, token_text(job.prompt, offset),
                           offset + 1 == job.end_offset);
            if (!write(sink, "data: " + event.dump() + "\n\n"))
                return false;
        }
    }
    return true;
}

void engine::send_stream(httplib::Response& response, std::shared_ptr<generation_job> const& job,
                         nlohmann::json const& body, bool is_chat, bool closes_early)
{
    ++this->service.open_requests;
    auto const end = closes_early ? job->first_offset + (job->end_offset - job->first_offset) / 2
                                  : job->end_offset;
    response.set_chunked_content_provider(
        "text/event-stream",
        [this, job, body, is_chat, end, closes_early](std::size_t, httplib::DataSink& sink)
        {
            if (!this->write_tokens(sink, *job, body, is_chat, end) || closes_early)
                return false;
            if (job->first_offset == job->end_offset &&
                !write(sink, "data: " +
                                 make_chunk(*job, body, is_chat, job->end_offset, "", true).dump() +
                                 "\n\n"))
                return false;
            if (!write(sink, "data: [DONE]\n\n"))
                return false;
            sink.done();
            return true;
        },
        [this, job](bool)
        {
            this->jobs.cancel(job);
            --this->service.open_requests;
        });
}

void engine::send_whole(httplib::Response& response, generation_job& job,
                        nlohmann::json const& body, bool is_chat)
{
    while (this->jobs.wait(job, job.end_offset - 1, seconds(1)) < job.end_offset)
        if (this->jobs.is_cancelled(job))
            return answer_json(response, 499, {{"error", {{"message", "cancelled"}}}});
    auto const text = answer_text(job.prompt, job.first_offset, job.end_offset);
    nlohmann::json choice{{"index", 0}, {"finish_reason", "length"}};
    if (is_chat)
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    else
        choice["text"] = text;
    auto const prompt_count = prompt_tokens(job.prompt).size();
    auto const generated = job.end_offset - job.first_offset;
    answer_json(response, 200,
                {{"id", job.id},
                 {"object", is_chat ? "chat.completion" : "text_completion"},
                 {"model", body.value("model", "")},
                 {"choices", nlohmann::json::array({choice})},
                 {"offset", job.first_offset},
                 {"usage",
                  {{"prompt_tokens", prompt_count},
                   {"completion_tokens", generated},
                   {"total_tokens", prompt_count + generated}}}});
}

void engine::export_kv(nlohmann::json const& body, httplib::Response& response)
{
    auto const job = this->jobs.find(body.at("request_id").get<std::string>());
    if (!job)
        return answer_json(response, 404, nlohmann::json::object());
    auto const tokens = this->jobs.wait(*job, 0, duration::zero());
    auto const handle = this->kv.add(this->options.id, {job->prompt, tokens});
    answer_json(response, 200, {{"handle", handle}, {"tokens", tokens}});
}

void engine::import_kv(nlohmann::json const& body, httplib::Response& response)
{
    auto const tokens =
        this->kv.import(body.at("handle").get<std::string>(), body.at("source").get<std::string>());
    if (!tokens)
        return answer_json(response, 404, nlohmann::json::object());
    answer_json(response, 200, {{"tokens", *tokens}});
}

void engine::execute_order(nlohmann::json const& order)
{
    if (order.value("action", "") != "load_version")
        return;
    auto const version = order.at("version").get<std::string>();
    std::thread(
        [this, version]
        {
            std::this_thread::sleep_for(this->load_time);
            this->announcements.set_version(version);
        })
        .detach();
}

nlohmann::json engine::stats()
{
    auto const counts = this->jobs.stats();
    return {{"requests", counts.requests},
            {"generated_tokens", counts.generated_tokens},
            {"recomputed_tokens", counts.recomputed_tokens},
            {"prompt_tokens", counts.prompt_tokens},
            {"cached_prompt_tokens", counts.cached_prompt_tokens},
            {"cancelled", counts.cancelled},
            {"open", this->service.open_requests.load()}};
}

void engine::drain()
{
    drain_endpoint(this->service, this->announcements, this->options.leave_grace);
}

} // namespace

int run_engine(int argc, char** argv)
{
    TCLAP::CmdLine command("Fake model engine", ' ', "", false);
    endpoint_arguments endpoint(command);
    batch_options defaults;
    TCLAP::ValueArg<unsigned> slots("", "slots", "concurrent requests in the batch", false,
                                    defaults.slots, "N", command);
    TCLAP::ValueArg<int> interval("", "token-interval-us", "time between tokens of one stream",
                                  false, 10'000, "US", command);
    TCLAP::ValueArg<double> growth_per_stream(
        "", "batch-growth", "fraction of the interval that each further stream adds", false,
        defaults.growth_per_stream, "SHARE", command);
    TCLAP::ValueArg<int> prefill("", "prefill-us-per-token", "prefill time of a prompt token",
                                 false, 50, "US", command);
    TCLAP::ValueArg<unsigned> cache("", "cache-entries", "cached prefixes of 16 tokens", false,
                                    1000, "N", command);
    TCLAP::ValueArg<int> lag("", "load-lag-ms", "age of the reported load", false, 500, "MS",
                             command);
    TCLAP::ValueArg<int> load_time("", "load-time-ms", "time to load a version", false, 1000, "MS",
                                   command);
    TCLAP::SwitchArg fencing("", "check-fencing", "refuse orders with stale fencing tokens",
                             command);
    if (!parse_or_print_help(command, argc, argv))
        return 0;
    defaults.slots = slots.getValue();
    defaults.token_interval = microseconds(interval.getValue());
    defaults.growth_per_stream = growth_per_stream.getValue();
    defaults.prefill_per_token = microseconds(prefill.getValue());
    defaults.cache_entries = cache.getValue();
    defaults.load_lag = milliseconds(lag.getValue());
    auto options = endpoint.parsed();
    options.checks_fencing = fencing.getValue();
    return engine(options, defaults, milliseconds(load_time.getValue())).run();
}

} // namespace lagoonladder::fakes
