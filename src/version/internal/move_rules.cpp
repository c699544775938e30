#include "move_rules.hpp"

#include <algorithm>
#include <cmath>

namespace lagoonladder::version
{

namespace
{

char const* const configuration_reason = "configuration";

wall_time finish_time(service_config const& service, wall_time now)
{
    return service.finish_by.value_or(now + service.finish_within);
}

} // namespace

std::string move_rules::find_problem(configuration const& next) const
{
    for (auto const& [name, service] : next.services)
    {
        if (this->starts_move(service) && finish_time(service, this->now) <= this->now)
            return "[service " + name.value() + "]: finish_by " +
                   format_wall_time(finish_time(service, this->now)) + " has passed";
    }
    return {};
}

bool move_rules::starts_move(service_config const& next) const
{
    auto const split = this->state.splits.find(next.name);
    if (split == this->state.splits.end())
        return false;
    // After a reversal the file still names the reversed version. Only a changed version
    // starts a move; otherwise each later apply would start the reversed move again.
    auto const* previous = this->state.configuration.find_service(next.name);
    bool const is_changed = previous == nullptr || previous->version != next.version;
    return is_changed && next.version != split->second.stable &&
           next.version != split->second.candidate;
}

void move_rules::apply(configuration next, lagoonladder::generation new_generation)
{
    this->drop_removed_services(next);
    for (auto const& [name, service] : next.services)
        this->apply_service(service, new_generation);
    this->state.configuration = std::move(next);
    this->state.generation = new_generation;
    this->drop_old_moves();
}

void move_rules::apply_service(service_config const& next, lagoonladder::generation new_generation)
{
    auto const [split, inserted] = this->state.splits.try_emplace(next.name);
    if (inserted)
    {
        split->second.stable = next.version;
        return;
    }
    bool const should_start = this->starts_move(next);
    auto* running = this->find_running(next.name);
    if (running != nullptr && running->to != next.version)
        this->end(*running, move_state::reversed, configuration_reason);
    if (should_start)
        this->start(next, new_generation);
}

void move_rules::start(service_config const& next, lagoonladder::generation new_generation)
{
    auto& split = this->state.splits.at(next.name);
    move_record move;
    move.service = next.name;
    move.from = split.stable;
    move.to = next.version;
    move.started = this->now;
    move.finish_by = finish_time(next, this->now);
    move.generation = new_generation;
    split.candidate = next.version;
    split.candidate_share = 0;
    this->state.moves.push_back(std::move(move));
}

bool move_rules::is_resent(lagoonladder::version::start_service_move const& move_command,
                           move_record const& latest) const
{
    if (!move_command.resend_time)
        return !latest.ended || this->now - *latest.ended < control_state::resend_window;
    if (latest.finish_by - latest.ordered != move_command.time_limit)
        return false;
    // The clock of another leader may differ, or have been set meanwhile. The sender of the command
    // measures by a clock of its own, but not since before its start.
    bool const is_known_long_enough =
        move_command.base == latest.number && move_command.base_age >= *move_command.resend_time;
    return !is_known_long_enough && this->now - latest.ordered < *move_command.resend_time;
}

start_move_outcome
move_rules::start_service_move(lagoonladder::version::start_service_move const& move_command,
                               std::uint64_t index)
{
    auto* const latest = this->find_latest(move_command.service);
    bool const has_same_version = latest != nullptr && latest->to == move_command.to;
    if (has_same_version && this->is_resent(move_command, *latest))
        return start_move_outcome::repeated;
    bool const is_outdated =
        move_command.base &&
        *move_command.base < latest_order(this->state.moves, move_command.service);
    if (is_outdated)
        return start_move_outcome::outdated;
    if (has_same_version && latest->state == move_state::running)
    {
        latest->finish_by = this->now + move_command.time_limit;
        latest->number = index;
        latest->ordered = this->now;
        return start_move_outcome::prolonged;
    }
    this->add_service_move(move_command, index);
    return start_move_outcome::started;
}

void move_rules::add_service_move(lagoonladder::version::start_service_move const& move_command,
                                  std::uint64_t index)
{
    if (auto* running = this->find_running(move_command.service))
        this->end(*running, move_state::reversed, "another move was started");
    auto& split = this->state.splits[move_command.service];
    // Commands of earlier releases, which have no such time, make any version a candidate.
    bool const is_in_service =
        move_command.resend_time &&
        (move_command.to == split.stable || move_command.to == move_command.in_service);
    move_record move;
    move.service = move_command.service;
    move.from = is_in_service ? move_command.to : split.stable;
    move.to = move_command.to;
    move.started = this->now;
    move.finish_by = this->now + move_command.time_limit;
    move.generation = lagoonladder::generation(index);
    move.number = index;
    move.ordered = this->now;
    split.candidate = is_in_service ? version_name() : move_command.to;
    split.candidate_share = 0;
    this->state.moves.push_back(std::move(move));
    this->drop_old_moves();
}

bool move_rules::update(update_move const& change)
{
    auto* move = this->find_running(change.service);
    if (move == nullptr || move->generation != change.generation || !std::isfinite(change.share))
        return false;
    move->figures = change.figures;
    move->is_shown_worse = change.is_shown_worse;
    if (change.state == move_state::running)
    {
        move->reason = change.reason;
        this->set_share(*move, std::clamp(change.share, 0.0, 1.0));
    }
    else
        this->end(*move, change.state, change.reason);
    this->drop_old_moves();
    return true;
}

void move_rules::set_share(move_record& move, double share)
{
    move.share = share;
    if (share < 1)
        move.full_since.reset();
    else if (!move.full_since)
        move.full_since = this->now;
    auto& split = this->state.splits.at(move.service);
    if (split.candidate == move.to)
        split.candidate_share = share;
}

void move_rules::end(move_record& move, move_state outcome, std::string reason)
{
    auto& split = this->state.splits.at(move.service);
    bool const is_consistent =
        is_renewal(move) || (split.candidate == move.to && split.stable == move.from);
    invariant(is_consistent, "the traffic split names the versions of the running move");
    move.state = outcome;
    move.ended = this->now;
    move.reason = std::move(reason);
    move.share = outcome == move_state::finished ? 1 : 0;
    if (outcome == move_state::finished)
        split.stable = move.to;
    split.candidate = {};
    split.candidate_share = 0;
}

move_record* move_rules::find_latest(service_name const& service)
{
    auto const found =
        std::find_if(this->state.moves.rbegin(), this->state.moves.rend(),
                     [&](move_record const& move) { return move.service == service; });
    return found == this->state.moves.rend() ? nullptr : &*found;
}

move_record* move_rules::find_running(service_name const& service)
{
    auto const found =
        std::find_if(this->state.moves.begin(), this->state.moves.end(),
                     [&](move_record const& move)
                     { return move.service == service && move.state == move_state::running; });
    return found == this->state.moves.end() ? nullptr : &*found;
}

void move_rules::drop_removed_services(configuration const& next)
{
    for (auto split = this->state.splits.begin(); split != this->state.splits.end();)
    {
        bool const is_passed_through =
            this->state.services && this->state.services->find_service(split->first) != nullptr;
        if (is_passed_through || next.find_service(split->first) != nullptr)
        {
            ++split;
            continue;
        }
        if (auto* running = this->find_running(split->first))
            this->end(*running, move_state::reversed, configuration_reason);
        split = this->state.splits.erase(split);
    }
}

void move_rules::drop_old_moves()
{
    std::map<service_name, std::size_t> kept;
    auto& moves = this->state.moves;
    for (auto position = moves.size(); position-- > 0;)
    {
        auto const& move = moves[position];
        if (move.state != move_state::running &&
            ++kept[move.service] > control_state::max_ended_moves)
            moves.erase(moves.begin() + static_cast<std::ptrdiff_t>(position));
    }
}

} // namespace lagoonladder::version
