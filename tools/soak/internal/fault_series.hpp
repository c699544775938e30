#ifndef LAGOONLADDER_SOAK_FAULT_SERIES_HPP
#define LAGOONLADDER_SOAK_FAULT_SERIES_HPP

#include <atomic>
#include <thread>

#include "deployment.hpp"

namespace lagoonladder::soak
{

/// Time after its return during which a machine counts as lost.
inline constexpr duration catch_up_time = seconds(4);

/// Does one fault after another to the entries of its slots. Several series run beside each other
/// when they have no slot in common.
class fault_series
{
public:
    fault_series(deployment& initial_entries, recorder& initial_history,
                 fault_target initial_target, std::vector<std::size_t> initial_slots,
                 std::uint64_t seed);

    /// To be called every few milliseconds. Without `may_begin`, a fault that runs is ended, and
    /// no other one begins.
    void step(bool may_begin);
    /// True when no fault runs and the last victim has caught up.
    bool is_settled() const;

private:
    enum class phase
    {
        resting,
        terminating,
        harmed,
    };

    std::size_t victim() const { return this->slots[this->current.victim]; }
    void begin();
    void end();
    void start_victims();
    void go(phase next, duration length);

    deployment& entries;
    recorder& history_recorder;
    fault_target target;
    std::vector<std::size_t> slots;
    std::mt19937_64 random;
    planned_fault current;
    phase state = phase::resting;
    run_time until{};
    run_time settled_at{};
};

/// Threads that use processor time for some seconds, again and again.
class busy_series
{
public:
    busy_series(recorder& initial_history, std::uint64_t seed);
    ~busy_series();
    busy_series(busy_series const&) = delete;
    busy_series& operator=(busy_series const&) = delete;

    void step(bool may_begin);

private:
    void begin();
    void end();

    recorder& history_recorder;
    std::mt19937_64 random;
    std::atomic<bool> is_idle = true;
    std::vector<std::thread> threads;
    run_time until = seconds(3);
};

} // namespace lagoonladder::soak

#endif
