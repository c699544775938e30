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

/// Faults that a test enables with POST /v1/fault {kind, value, route}. Only one fault is
/// active at a time; kind "none" disables it.
class fault_switch
{
public:
    explicit fault_switch(std::uint64_t seed);

    /// Adds POST /v1/fault to a server.
    void install(httplib::Server& server);

    /// Decides at random whether a request to the path fails (kind "fail_rate").
    bool draw_failure(std::string const& path);
    /// Decides at random whether a stream of the path is closed after half of its tokens (kind
    /// "break_rate").
    bool draw_break(std::string const& path);
    /// Factor for the time between tokens (kind "slow_factor"); 1 without a fault.
    double slow_factor(std::string const& path) const;
    /// Additional time before a response (kind "delay_ms").
    duration answer_delay(std::string const& path) const;
    /// Whether a request is executed and its connection then closed without a response (kind
    /// "die_after_execution").
    bool closes_after_execution(std::string const& path) const;
    /// Whether a fault is active that only one of the fakes has, for example "refuse_vms".
    bool is_active(std::string const& kind) const;

    /// Records that the connection of the calling thread was opened now.
    void connection_opened();
    /// Whether the connection of the calling thread was opened before the last
    /// "silent" fault and must not send further bytes.
    bool is_silent() const;
    /// Blocks while the connection is silent and its peer has not closed it.
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
