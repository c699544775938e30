#include "announcer.hpp"

#include <httplib.h>

#include "log_line.hpp"

namespace lagoonladder::fakes
{

namespace
{

constexpr auto announcement_interval = seconds(1);

httplib::Client make_client(std::string const& entry, std::string const& token)
{
    httplib::Client client("http://" + entry);
    client.set_connection_timeout(1);
    client.set_read_timeout(1);
    client.set_default_headers({{"Authorization", "Bearer " + token}});
    return client;
}

} // namespace

announcer::announcer(endpoint_options const& initial, std::function<void(nlohmann::json&)> fields)
    : options(initial)
    , add_fields(std::move(fields))
    , incarnation(static_cast<std::uint64_t>(system_clock().wall_now().time_since_epoch().count()))
{
}

announcer::~announcer()
{
    this->stop();
}

void announcer::start()
{
    if (!this->options.entries.empty())
        this->worker = std::thread([this] { this->run(); });
}

void announcer::leave()
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    this->leaving = true;
    this->announce_now = true;
    this->state_changed.notify_all();
}

void announcer::set_version(std::string const& version)
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    this->options.version = version;
    this->announce_now = true;
    this->state_changed.notify_all();
}

void announcer::stop()
{
    {
        std::lock_guard<std::mutex> const lock(this->mutex);
        this->stopping = true;
        this->state_changed.notify_all();
    }
    if (!this->worker.joinable())
        return;
    this->worker.join();
    this->try_entries([this](auto const& entry) { return this->remove_endpoint(entry); });
}

void announcer::run()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->stopping)
    {
        this->announce_now = false;
        auto const body = this->next_announcement().dump();
        lock.unlock();
        bool const sent = this->try_entries([&](auto const& entry)
                                            { return this->put_announcement(entry, body); });
        if (!sent)
            log_line("announce.failed", {{"id", this->options.id}});
        lock.lock();
        this->state_changed.wait_for(lock, announcement_interval,
                                     [this] { return this->stopping || this->announce_now; });
    }
}

nlohmann::json announcer::next_announcement()
{
    auto const& endpoint = this->options;
    nlohmann::json announcement{{"id", endpoint.id},
                                {"service", endpoint.service},
                                {"version", endpoint.version},
                                {"address", endpoint.address},
                                {"vm", endpoint.vm},
                                {"data_centre", endpoint.data_centre},
                                {"zone", endpoint.zone},
                                {"machine_class", endpoint.machine_class},
                                {"reclaimable", endpoint.reclaimable},
                                {"checks_fencing", endpoint.checks_fencing},
                                {"state", this->leaving ? "leaving" : "serving"},
                                {"incarnation", this->incarnation},
                                {"sequence", ++this->sequence}};
    this->add_fields(announcement);
    return announcement;
}

bool announcer::try_entries(std::function<bool(std::string const& entry)> const& attempt)
{
    for (std::size_t attempt_count = 0; attempt_count < this->options.entries.size();
         ++attempt_count)
    {
        if (attempt(this->options.entries[this->current_entry_index]))
            return true;
        this->current_entry_index = (this->current_entry_index + 1) % this->options.entries.size();
    }
    return false;
}

bool announcer::put_announcement(std::string const& entry, std::string const& body) const
{
    auto client = make_client(entry, this->options.token);
    auto const answer = client.Put("/v1/endpoints/" + this->options.id, body, "application/json");
    return answer && answer->status / 100 == 2;
}

bool announcer::remove_endpoint(std::string const& entry) const
{
    auto client = make_client(entry, this->options.token);
    auto const answer = client.Delete("/v1/endpoints/" + this->options.id);
    return answer && answer->status / 100 == 2;
}

} // namespace lagoonladder::fakes
