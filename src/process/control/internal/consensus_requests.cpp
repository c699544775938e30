#include <algorithm>

#include "consensus_driver.hpp"

namespace lagoonladder::control
{

namespace
{

/// Commands of this size or more carry a configuration or a part of one; their commits are logged.
constexpr std::size_t large_command_bytes = 32 * 1024;

/// Removes the items whose deadline has passed and returns their handlers.
template <class PendingMap>
auto extract_expired(PendingMap& pending, time_point now)
{
    std::vector<decltype(PendingMap::mapped_type::done)> handlers;
    std::erase_if(pending,
                  [&](auto& item)
                  {
                      if (item.second.deadline > now)
                          return false;
                      handlers.push_back(std::move(item.second.done));
                      return true;
                  });
    return handlers;
}

} // namespace

void consensus_driver::resolve_proposal(consensus::log_entry const& entry,
                                        version::command_result const& result)
{
    auto const [first, last] = this->proposals.equal_range(entry.index.value());
    std::vector<std::pair<proposal_handler, bool>> resolved;
    for (auto pending = first; pending != last; ++pending)
    {
        bool const is_committed = pending->second.term == entry.term;
        if (is_committed && pending->second.bytes >= large_command_bytes)
            this->report_large_commit(entry, pending->second);
        resolved.emplace_back(std::move(pending->second.done), is_committed);
    }
    this->proposals.erase(first, last);
    for (auto const& [done, is_committed] : resolved)
    {
        if (is_committed)
            done({proposal_status::committed, result});
        else
            done({proposal_status::not_proposed, {}});
    }
}

void consensus_driver::report_large_commit(consensus::log_entry const& entry,
                                           pending_proposal const& pending)
{
    this->events.emit(severity::info, "consensus.large_command_committed",
                      {{"index", std::to_string(entry.index.value())},
                       {"bytes", std::to_string(pending.bytes)},
                       {"elapsed_ms", milliseconds_text(this->time.now() - pending.started)}});
}

void consensus_driver::propose(version::command_body body, time_point deadline,
                               proposal_handler done)
{
    version::command command;
    command.now =
        std::max({this->time.wall_now(), this->control_state.latest_time(), this->last_proposed});
    command.body = std::move(body);
    if (!this->usable)
        return done({proposal_status::not_proposed, {}});
    auto const now = this->time.now();
    auto data = version::encode(command);
    auto const bytes = data.size();
    auto const position = this->node.propose(now, std::move(data));
    if (!position)
        return done({proposal_status::not_proposed, {}});
    this->last_proposed = command.now;
    this->proposals.emplace(position->index.value(), pending_proposal{position->term, deadline, now,
                                                                      bytes, std::move(done)});
    this->schedule_flush();
}

void consensus_driver::read(time_point deadline, read_handler done)
{
    auto const id = this->next_read++;
    if (!this->usable || !this->node.request_read(this->time.now(), id))
        return done(false);
    this->reads.emplace(id, pending_read{deadline, std::nullopt, std::move(done)});
    this->schedule_flush();
}

void consensus_driver::fail_read(std::uint64_t id)
{
    auto const pending = this->reads.extract(id);
    if (!pending.empty())
        pending.mapped().done(false);
}

void consensus_driver::serve_reads()
{
    std::vector<read_handler> served_handlers;
    std::erase_if(this->reads,
                  [&](auto& item)
                  {
                      auto& pending = item.second;
                      if (!pending.index || *pending.index > this->applied_index)
                          return false;
                      served_handlers.push_back(std::move(pending.done));
                      return true;
                  });
    for (auto const& done : served_handlers)
        done(true);
}

void consensus_driver::record_expired(time_point now)
{
    for (auto const& [index, pending] : this->proposals)
    {
        if (pending.deadline > now)
            continue;
        if (this->expired.count++ == 0)
            this->expired.first_index = index;
        this->expired.bytes += pending.bytes;
        this->expired.max_wait = std::max(this->expired.max_wait, now - pending.started);
    }
}

void consensus_driver::report_expired()
{
    if (this->expired.count == 0 || !this->expired_log_limit.admit(this->time.now()))
        return;
    this->events.emit(severity::warning, "consensus.proposal_expired",
                      {{"index", std::to_string(this->expired.first_index)},
                       {"count", std::to_string(this->expired.count)},
                       {"bytes", std::to_string(this->expired.bytes)},
                       {"elapsed_ms", milliseconds_text(this->expired.max_wait)},
                       {"commit_index", std::to_string(this->node.commit_index().value())},
                       {"is_leader", this->is_leader() ? "true" : "false"}});
    this->expired = {};
}

void consensus_driver::expire_pending()
{
    auto const now = this->time.now();
    this->record_expired(now);
    this->report_expired();
    auto const late_proposals = extract_expired(this->proposals, now);
    auto const late_reads = extract_expired(this->reads, now);
    for (auto const& done : late_proposals)
        done({proposal_status::unknown, {}});
    for (auto const& done : late_reads)
        done(false);
}

void consensus_driver::fail_pending()
{
    for (auto& [index, pending] : std::exchange(this->proposals, {}))
        pending.done({proposal_status::unknown, {}});
    for (auto& [id, pending] : std::exchange(this->reads, {}))
        pending.done(false);
}

} // namespace lagoonladder::control
