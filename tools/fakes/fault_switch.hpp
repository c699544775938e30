#ifndef LAGOONLADDER_FAKES_FAULT_SWITCH_HPP
#define LAGOONLADDER_FAKES_FAULT_SWITCH_HPP

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>

#include <httplib.h>

#include <lagoonladder/base.hpp>

namespace lagoonladder::fakes
{

/// Faults that a test switches on by POST /v1/fault {kind, value, route}.
/// One fault is active at a time; "none" ends it.
class fault_switch
{
public:
    explicit fault_switch(std::uint64_t seed);

    /// Adds POST /v1/fault to a server.
    void install(httplib::Server& server);

    /// Draws whether a request to the path fails (kind "fail_rate").
    bool draw_failure(std::string const& path);
    /// Draws whether a stream of the path breaks half-way (kind "break_rate").
    bool draw_break(std::string const& path);
    /// Factor on the time between tokens (kind "slow_factor"); 1 without a fault.
    double slow_factor(std::string const& path) const;
    /// Extra time before an answer (kind "delay_ms").
    duration answer_delay(std::string const& path) const;
    /// Executes a request but closes its connection (kind "die_after_execution").
    bool dies_after_execution(std::string const& path) const;
    /// Custom switches of a fake, for example "refuse_vms".
    bool is_active(std::string const& kind) const;

    /// Marks the connection of the calling thread as opened now.
    void connection_opened();
    /// Whether the connection of the calling thread was opened before the last
    /// "silent" fault and must not send another byte.
    bool is_silent() const;
    /// Blocks for as long as the connection is silent and the peer has not closed it.
    void wait_while_silent(std::function<bool()> const& peer_is_connected) const;

private:
    double value_of(std::string const& kind, std::string const& path) const;
    void set(std::string const& kind, double value, std::string const& route);

    mutable std::mutex mutex;
    std::string kind = "none";
    double value = 0;
    std::string route;
    seeded_random random;
    std::atomic<std::uint64_t> silent_epoch = 0;
};

} // namespace lagoonladder::fakes

#endif
