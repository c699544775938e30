#ifndef LAGOONLADDER_CONSENSUS_REPLICATED_LOG_HPP
#define LAGOONLADDER_CONSENSUS_REPLICATED_LOG_HPP

#include <deque>
#include <map>

#include <lagoonladder/consensus/types.hpp>

#include "encoding.hpp"

namespace lagoonladder::consensus
{

/// Log entries in memory and the memberships that they contain. Entries up to the base index have
/// been dropped; of the entry at the base, only index and term are known.
class replicated_log
{
public:
    /// Throws consensus_error when the entries are not contiguous or their terms decrease.
    explicit replicated_log(persistent_state const& state);

    log_index base() const { return this->base_index; }
    log_index last_index() const { return after(this->base_index, this->entries.size()); }
    term_number last_term() const
    {
        return this->entries.empty() ? this->base_term : this->entries.back().term;
    }

    /// Term of the entry at `index`; no value outside [base, last].
    std::optional<term_number> term_at(log_index index) const;
    log_entry const& at(log_index index) const;

    /// Entries from `first` to `last`, cut off at both limits but always at least one.
    std::vector<log_entry> slice(log_index first, log_index last, std::uint64_t max_entries,
                                 std::uint64_t max_bytes) const;

    /// First index of the run of entries with the term of `index`.
    log_index first_of_term(log_index index) const;
    /// Last index in [base, limit] with a term of at most `term`.
    log_index last_up_to_term(term_number term, log_index limit) const;

    void append(log_entry entry);
    void truncate_from(log_index first);
    /// Drops the entries up to `new_base`.
    void compact_to(log_index new_base);
    /// Replaces the entire log by a snapshot.
    void reset(snapshot const& new_snapshot);

    membership const& latest_membership() const;
    /// Index of the entry that contains the latest membership.
    log_index latest_membership_index() const;
    membership const& membership_at(log_index index) const;

private:
    /// Offset of the entry at `index` in `entries`.
    std::uint64_t position(log_index index) const
    {
        return index.value() - this->base_index.value() - 1;
    }

    log_index base_index;
    term_number base_term;
    std::deque<log_entry> entries;
    /// Memberships by the index of their entry, from the one in force at the base index on.
    std::map<log_index, membership> memberships;
};

} // namespace lagoonladder::consensus

#endif
