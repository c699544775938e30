#ifndef LAGOONLADDER_DAEMON_ORDER_AGES_HPP
#define LAGOONLADDER_DAEMON_ORDER_AGES_HPP

#include <map>
#include <vector>

#include <lagoonladder/version.hpp>

namespace lagoonladder::daemon
{

/// For how long this daemon has known the latest order for the moves of each service, by its own
/// clock, which nobody sets. Not thread-safe.
class order_ages
{
public:
    /// To be called when the moves may have changed.
    void update(time_point now, std::vector<version::move_record> const& moves)
    {
        for (auto const& move : moves)
        {
            auto& latest = this->orders[move.service];
            if (move.number > latest.number)
                latest = {move.number, now};
        }
    }

    /// Returns 0 for an order that is not the latest one known.
    duration age(time_point now, service_name const& service, std::uint64_t number) const
    {
        auto const found = this->orders.find(service);
        bool const is_known = found != this->orders.end() && found->second.number == number;
        return is_known ? now - found->second.known_since : duration(0);
    }

private:
    struct known_order
    {
        std::uint64_t number = 0;
        time_point known_since{};
    };

    std::map<service_name, known_order> orders;
};

} // namespace lagoonladder::daemon

#endif
