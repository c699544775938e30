#include <algorithm>

#include "consensus_driver.hpp"

namespace lagoonladder::control
{

namespace
{

/// Removes what has waited past its deadline. Returns the handlers.
template <class Waiting>
auto take_expired(Waiting& waiting, time_point now)
{
    std::vector<decltype(Waiting::mapped_type::done)> late;
    std::erase_if(waiting,
                  [&](auto& item)
                  {
                      if (item.second.deadline > now)
                          return false;
                      late.push_back(std::move(item.second.done));
                      return true;
                  });
    return late;
}

} // namespace

void consensus_driver::resolve_proposal(consensus::log_entry const& entry,
                                        version::command_result const& result)
{
    auto const [first, last] = this->proposals.equal_range(entry.index.value());
    std::vector<std::pair<proposal_handler, bool>> resolved;
    for (auto pending = first; pending != last; ++pending)
        resolved.emplace_back(std::move(pending->second.done), pending->second.term == entry.term);
    this->proposals.erase(first, last);
    for (auto const& [done, own] : resolved)
    {
        if (own)
            done({proposal_status::committed, result});
        else
            done({proposal_status::not_proposed, {}});
    }
}

void consensus_driver::propose(version::command_body body, time_point deadline,
                               proposal_handler done)
{
    version::command entry;
    entry.now = std::max({this->time.wall_now(), this->control.latest_time(), this->last_proposed});
    entry.body = std::move(body);
    if (!this->usable)
        return done({proposal_status::not_proposed, {}});
    auto const position = this->node.propose(this->time.now(), version::encode(entry));
    if (!position)
        return done({proposal_status::not_proposed, {}});
    this->last_proposed = entry.now;
    this->proposals.emplace(position->index.value(),
                            pending_proposal{position->term, deadline, std::move(done)});
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
    std::vector<read_handler> served;
    std::erase_if(this->reads,
                  [&](auto& item)
                  {
                      auto& pending = item.second;
                      if (!pending.index || *pending.index > this->applied)
                          return false;
                      served.push_back(std::move(pending.done));
                      return true;
                  });
    for (auto const& done : served)
        done(true);
}

void consensus_driver::expire_pending()
{
    auto const now = this->time.now();
    auto const late_proposals = take_expired(this->proposals, now);
    auto const late_reads = take_expired(this->reads, now);
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
