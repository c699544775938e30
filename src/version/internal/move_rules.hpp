#ifndef LAGOONLADDER_VERSION_MOVE_RULES_HPP
#define LAGOONLADDER_VERSION_MOVE_RULES_HPP

#include <lagoonladder/version/control_state.hpp>

namespace lagoonladder::version
{

/// Changes moves and splits of a shared state together.
class move_rules
{
public:
    move_rules(shared_state& target, wall_time time)
        : state(target)
        , now(time)
    {
    }

    /// Why `next` cannot become the configuration now; empty when it can.
    std::string check(configuration const& next) const;

    /// Takes over `next` as generation `stored`: starts, reverses and drops moves.
    void take_over(configuration next, lagoonladder::generation stored);

    /// Starts a move of a pass-through service; a running move to another version
    /// is reversed. False when the same move is running or has just ended.
    bool start_service_move(lagoonladder::version::start_service_move const& order,
                            lagoonladder::generation stored);

    /// False when the service has no running move of that generation.
    bool update(update_move const& change);

private:
    move_record* find_running(service_name const& service);
    /// Whether `next` makes a move to its version start.
    bool starts_move(service_config const& next) const;
    void take_over(service_config const& next, lagoonladder::generation stored);
    void start(service_config const& next, lagoonladder::generation stored);
    void set_share(move_record& move, double share);
    void end(move_record& move, move_state outcome, std::string reason);
    void drop_removed_services(configuration const& next);
    void drop_old_moves();

    shared_state& state;
    wall_time now;
};

} // namespace lagoonladder::version

#endif
