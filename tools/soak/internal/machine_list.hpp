#ifndef LAGOONLADDER_SOAK_MACHINE_LIST_HPP
#define LAGOONLADDER_SOAK_MACHINE_LIST_HPP

#include <mutex>

#include <lagoonladder/soak.hpp>

namespace lagoonladder::soak
{

// Ports of each machine. They are below those that the system assigns to outgoing connections.
inline constexpr int front_port = 8221;
inline constexpr int readiness_port = 8224;
inline constexpr int control_port = 8229;
inline constexpr int directory_port = 8220;
inline constexpr int metrics_port = 9464;
inline constexpr int first_internal_port = 7600;
inline constexpr int last_internal_port = 7615;
inline constexpr int replica_port = 8080;
inline constexpr int platform_port = 8225;

struct machine
{
    entry_id id{};
    std::string ip;
};

/// The operator's list: the machine that has each role now.
class machine_list
{
public:
    explicit machine_list(std::vector<machine> initial)
        : machines(std::move(initial))
    {
    }

    std::size_t size() const
    {
        std::lock_guard<std::mutex> const lock(this->mutex);
        return this->machines.size();
    }

    machine at(std::size_t slot) const
    {
        std::lock_guard<std::mutex> const lock(this->mutex);
        return this->machines[slot];
    }

    void reset(std::vector<machine> all)
    {
        std::lock_guard<std::mutex> const lock(this->mutex);
        this->machines = std::move(all);
    }

    void replace(std::size_t slot, machine successor)
    {
        std::lock_guard<std::mutex> const lock(this->mutex);
        this->machines[slot] = std::move(successor);
    }

private:
    mutable std::mutex mutex;
    std::vector<machine> machines;
};

} // namespace lagoonladder::soak

#endif
