#ifndef LAGOONLADDER_CONTROL_RECLAIM_POLLER_HPP
#define LAGOONLADDER_CONTROL_RECLAIM_POLLER_HPP

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include <lagoonladder/base.hpp>

namespace lagoonladder::control
{

/// Notice of the cloud API that it reclaims a VM, or the reclaimable VMs of a zone.
struct cloud_notice
{
    /// Empty when the notice is for a zone.
    vm_id vm;
    /// Empty when the notice is for a VM.
    zone_id zone;
    wall_time deadline{};
};

/// Interface of the cloud API, from which the daemon learns which VMs are reclaimed.
class cloud_api
{
public:
    virtual ~cloud_api() = default;
    /// Returns all notices in force. Throws control_error when the cloud API does not respond or
    /// the response is unreadable.
    virtual std::vector<cloud_notice> notices() = 0;
};

/// cloud_api that calls the HTTP API at an address.
class http_cloud_api : public cloud_api
{
public:
    explicit http_cloud_api(network_address api)
        : address(std::move(api))
    {
    }
    std::vector<cloud_notice> notices() override;

private:
    network_address const address;
};

/// Polls the cloud API for notices on its own thread while it is active.
class reclaim_poller
{
public:
    using notice_handler = std::function<void(std::vector<cloud_notice>)>;

    /// `handler` runs on the poller's thread.
    reclaim_poller(cloud_api& api, event_sink& log, notice_handler handler);
    ~reclaim_poller();

    void start();
    void stop();

    /// Enables polling; only the daemons chosen in each data centre poll.
    void set_active(bool value) { this->is_active = value; }

    static constexpr duration poll_interval = milliseconds(500);

private:
    void run();
    void poll();

    cloud_api& cloud;
    event_sink& events;
    notice_handler const on_notices;
    std::atomic<bool> is_active = false;
    bool is_reachable = true;
    std::mutex mutex;
    std::condition_variable stop_signal;
    bool is_stopping = false;
    std::thread thread;
};

} // namespace lagoonladder::control

#endif
