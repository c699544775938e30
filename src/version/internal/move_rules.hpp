#ifndef LAGOONLADDER_VERSION_MOVE_RULES_HPP
#define LAGOONLADDER_VERSION_MOVE_RULES_HPP

#include <lagoonladder/version/control_state.hpp>

namespace lagoonladder::version
{

/// Starts, updates and ends the moves of a shared state, and keeps its traffic splits
/// consistent with them.
class move_rules
{
public:
    move_rules(shared_state& target, wall_time time)
        : state(target)
        , now(time)
    {
    }

    /// Returns why `next` cannot become the configuration now, or an empty text if it can.
    std::string find_problem(configuration const& next) const;

    /// Makes `next` the configuration, as generation `new_generation`. Starts, reverses and
    /// removes moves accordingly.
    void apply(configuration next, lagoonladder::generation new_generation);

    /// Carries out the order for a move of a pass-through service at a log index. Reverses a
    /// running move to another version.
    start_move_outcome
    start_service_move(lagoonladder::version::start_service_move const& move_command,
                       std::uint64_t index);

    /// Applies an update. Returns false if the service has no running move of that generation
    /// or the share is not finite.
    bool update(update_move const& change);

private:
    move_record* find_running(service_name const& service);
    move_record* find_latest(service_name const& service);
    /// Whether an order for the version of the latest move is the one that started it, sent again.
    bool is_resent(lagoonladder::version::start_service_move const& move_command,
                   move_record const& latest) const;
    void add_service_move(lagoonladder::version::start_service_move const& move_command,
                          std::uint64_t index);
    /// Whether `next` starts a move to its version.
    bool starts_move(service_config const& next) const;
    void apply_service(service_config const& next, lagoonladder::generation new_generation);
    void start(service_config const& next, lagoonladder::generation new_generation);
    void set_share(move_record& move, double share);
    void end(move_record& move, move_state outcome, std::string reason);
    void drop_removed_services(configuration const& next);
    void drop_old_moves();

    shared_state& state;
    wall_time now;
};

} // namespace lagoonladder::version

#endif
