#include "replicated_log.hpp"

#include <algorithm>

namespace lagoonladder::consensus
{

replicated_log::replicated_log(persistent_state const& state)
{
    this->memberships[log_index(0)] = {};
    if (state.snapshot)
        this->reset(*state.snapshot);
    for (auto const& entry : state.entries)
    {
        if (entry.index != after(this->last_index()) || entry.term < this->last_term())
            throw consensus_error("stored log: entry " + std::to_string(entry.index.value()) +
                                  " does not follow entry " +
                                  std::to_string(this->last_index().value()));
        this->append(entry);
    }
}

std::optional<term_number> replicated_log::term_at(log_index index) const
{
    if (index == this->base_index)
        return this->base_term;
    if (index < this->base_index || index > this->last_index())
        return std::nullopt;
    return this->entries[this->position(index)].term;
}

log_entry const& replicated_log::at(log_index index) const
{
    invariant(index > this->base_index && index <= this->last_index(),
              "a log entry outside the log was read");
    return this->entries[this->position(index)];
}

std::vector<log_entry> replicated_log::slice(log_index first, log_index last,
                                             std::uint64_t max_entries,
                                             std::uint64_t max_bytes) const
{
    std::vector<log_entry> result;
    std::uint64_t bytes = 0;
    for (auto index = first; index <= last && result.size() < max_entries; index = after(index))
    {
        auto const& entry = this->at(index);
        bytes += entry.data.size();
        if (!result.empty() && bytes > max_bytes)
            break;
        result.push_back(entry);
    }
    return result;
}

log_index replicated_log::first_of_term(log_index index) const
{
    auto const term = this->term_at(index);
    while (index > after(this->base_index) && this->term_at(before(index)) == term)
        index = before(index);
    return index;
}

log_index replicated_log::last_up_to_term(term_number term, log_index limit) const
{
    auto index = std::min(limit, this->last_index());
    while (index > this->base_index && *this->term_at(index) > term)
        index = before(index);
    return index;
}

void replicated_log::append(log_entry entry)
{
    invariant(entry.index == after(this->last_index()), "the log would get a gap");
    invariant(entry.term >= this->last_term(), "terms in the log would decrease");
    if (entry.kind == entry_kind::membership)
        this->memberships[entry.index] = decode_membership(entry.data);
    this->entries.push_back(std::move(entry));
}

void replicated_log::truncate_from(log_index first)
{
    invariant(first > this->base_index, "entries covered by a snapshot would be truncated");
    this->entries.resize(std::min<std::size_t>(this->entries.size(), this->position(first)));
    this->memberships.erase(this->memberships.lower_bound(first), this->memberships.end());
}

void replicated_log::compact_to(log_index new_base)
{
    if (new_base <= this->base_index)
        return;
    auto const term = this->term_at(new_base);
    invariant(term.has_value(), "the log was compacted beyond its end");
    this->entries.erase(this->entries.begin(),
                        this->entries.begin() + static_cast<std::ptrdiff_t>(
                                                    new_base.value() - this->base_index.value()));
    this->base_index = new_base;
    this->base_term = *term;
    auto const first_kept = std::prev(this->memberships.upper_bound(new_base));
    this->memberships.erase(this->memberships.begin(), first_kept);
}

void replicated_log::reset(snapshot const& new_snapshot)
{
    this->entries.clear();
    this->base_index = new_snapshot.index;
    this->base_term = new_snapshot.term;
    this->memberships.clear();
    this->memberships[new_snapshot.index] = new_snapshot.membership;
}

membership const& replicated_log::latest_membership() const
{
    return this->memberships.rbegin()->second;
}

log_index replicated_log::latest_membership_index() const
{
    return this->memberships.rbegin()->first;
}

membership const& replicated_log::membership_at(log_index index) const
{
    auto const following = this->memberships.upper_bound(index);
    invariant(following != this->memberships.begin(), "the membership of a dropped entry was read");
    return std::prev(following)->second;
}

} // namespace lagoonladder::consensus
