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
struct platform_notice
{
    /// Empty when the notice is for a zone.
    vm_id vm;
    /// Empty when the notice is for a VM.
    zone_id zone;
    wall_time deadline{};
};

/// Source of reclaim notices.
class cloud_platform
{
public:
    virtual ~cloud_platform() = default;
    /// Returns all notices in force. Throws control_error when the platform does not respond or
    /// the response is unreadable.
    virtual std::vector<platform_notice> notices() = 0;
};

/// cloud_platform that uses the HTTP API at an address.
class http_cloud_platform : public cloud_platform
{
public:
    explicit http_cloud_platform(network_address api)
        : address(std::move(api))
    {
    }
    std::vector<platform_notice> notices() override;

private:
    network_address const address;
};

/// Polls the platform for notices on its own thread while it is active.
class reclaim_poller
{
public:
    using notice_handler = std::function<void(std::vector<platform_notice>)>;

    /// `handler` runs on the poller's thread.
    reclaim_poller(cloud_platform& source, event_sink& log, notice_handler handler);
    ~reclaim_poller();

    void start();
    void stop();

    /// Enables polling; only the daemons chosen in each data centre poll.
    void set_active(bool value) { this->active = value; }

    static constexpr duration poll_interval = milliseconds(500);

private:
    void run();
    void poll();

    cloud_platform& platform;
    event_sink& events;
    notice_handler const on_notices;
    std::atomic<bool> active = false;
    bool reachable = true;
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    std::thread thread;
};

} // namespace lagoonladder::control

#endif
