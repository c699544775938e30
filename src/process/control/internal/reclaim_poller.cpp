#include "reclaim_poller.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <lagoonladder/control/control_plane.hpp>

namespace lagoonladder::control
{

namespace
{

constexpr int connect_timeout_s = 1;
constexpr int read_timeout_s = 2;
/// Enough for thousands of notices; an endless response must not fill the memory.
constexpr std::size_t max_response_bytes = 1024 * 1024;
/// Limit from the request to the end of the response; the next poll tries again.
constexpr duration max_response_time = seconds(5);

cloud_notice parse_notice(nlohmann::json const& in)
{
    cloud_notice notice;
    notice.vm = vm_id(in.value("vm", std::string()));
    notice.zone = zone_id(in.value("zone", std::string()));
    notice.deadline = wall_time(duration(in.value("deadline_us", std::int64_t(0))));
    return notice;
}

} // namespace

std::vector<cloud_notice> http_cloud_api::notices()
{
    httplib::Client client("http://" + this->address.value());
    client.set_connection_timeout(connect_timeout_s);
    client.set_read_timeout(read_timeout_s);
    auto const deadline = std::chrono::steady_clock::now() + max_response_time;
    std::string text;
    auto const response = client.Get("/v1/notices",
                                     [&](char const* data, std::size_t size)
                                     {
                                         text.append(data, size);
                                         return text.size() <= max_response_bytes &&
                                                std::chrono::steady_clock::now() < deadline;
                                     });
    if (!response || response->status != 200)
        throw control_error("the cloud API at " + this->address.value() +
                            " did not respond to GET /v1/notices with status 200");
    try
    {
        auto const body = nlohmann::json::parse(text);
        std::vector<cloud_notice> notices;
        for (auto const& item : body.at("notices"))
            notices.push_back(parse_notice(item));
        return notices;
    }
    catch (nlohmann::json::exception const& problem)
    {
        throw control_error("the cloud API at " + this->address.value() +
                            " sent an unreadable list of notices: " + problem.what());
    }
}

reclaim_poller::reclaim_poller(cloud_api& api, event_sink& log, notice_handler handler)
    : cloud(api)
    , events(log)
    , on_notices(std::move(handler))
{
}

reclaim_poller::~reclaim_poller()
{
    this->stop();
}

void reclaim_poller::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void reclaim_poller::stop()
{
    {
        std::lock_guard const lock(this->mutex);
        this->is_stopping = true;
    }
    this->stop_signal.notify_all();
    if (this->thread.joinable())
        this->thread.join();
}

void reclaim_poller::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->is_stopping)
    {
        lock.unlock();
        if (this->is_active)
            this->poll();
        lock.lock();
        this->stop_signal.wait_for(lock, poll_interval, [this] { return this->is_stopping; });
    }
}

void reclaim_poller::poll()
{
    try
    {
        auto notices = this->cloud.notices();
        if (!this->is_reachable)
            this->events.emit(severity::info, "platform.reachable", {});
        this->is_reachable = true;
        if (!notices.empty())
            this->on_notices(std::move(notices));
    }
    catch (error const& problem)
    {
        if (this->is_reachable)
            this->events.emit(severity::warning, "platform.unreachable",
                              {{"reason", problem.what()}});
        this->is_reachable = false;
    }
}

} // namespace lagoonladder::control
