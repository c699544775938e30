#ifndef LAGOONLADDER_CONSENSUS_TYPES_HPP
#define LAGOONLADDER_CONSENSUS_TYPES_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <lagoonladder/base.hpp>

namespace lagoonladder::consensus
{

/// Errors of the consensus layer: invalid options or an inconsistent stored state.
class consensus_error : public error
{
public:
    using error::error;
};

/// "VM#INCARNATION". A voter that lost its log comes back with another
/// incarnation, so that votes and acknowledgements of the lost log never count.
using voter_id = strong_id<struct voter_id_tag>;
using term_number = strong_number<struct term_number_tag>;
/// Position in the log; the first entry has index 1.
using log_index = strong_number<struct log_index_tag>;

voter_id make_voter_id(vm_id const& vm, std::uint64_t incarnation);

/// VM part of a voter id; the whole text when there is no incarnation.
vm_id vm_of(voter_id const& id);

enum class entry_kind
{
    /// Appended by each new leader; carries no data.
    no_operation,
    command,
    /// `data` is an encoded membership; handled by the node itself.
    membership
};

struct log_entry
{
    log_index index;
    term_number term;
    entry_kind kind = entry_kind::no_operation;
    /// Arbitrary bytes.
    std::string data;

    friend bool operator==(log_entry const&, log_entry const&) = default;
};

/// Voters and learners with their control addresses.
struct membership
{
    std::map<voter_id, network_address> voters;
    /// Receive the log but count towards no quorum.
    std::map<voter_id, network_address> learners;

    bool contains(voter_id const& id) const
    {
        return this->voters.contains(id) || this->learners.contains(id);
    }

    friend bool operator==(membership const&, membership const&) = default;
};

struct membership_change
{
    enum class operation
    {
        /// Adds `id` at `address` as a learner.
        add_learner,
        /// Makes a caught-up learner a voter.
        promote,
        /// Removes a voter or a learner.
        remove,
        /// Sets the address of a member.
        set_address
    };

    operation action = operation::add_learner;
    voter_id id;
    network_address address;
};

struct hard_state
{
    term_number term;
    /// Voter that got the vote of `term`; empty when none did.
    voter_id vote;
    /// Known to be committed. May be stored later than term and vote.
    log_index commit;

    friend bool operator==(hard_state const&, hard_state const&) = default;
};

/// State of the replicated state machine after the entry at `index`.
struct snapshot
{
    log_index index;
    term_number term;
    consensus::membership membership;
    /// Encoded by the application; empty for the initial state.
    std::string data;

    friend bool operator==(snapshot const&, snapshot const&) = default;
};

/// What a node has on disk. Empty for a node that joins.
struct persistent_state
{
    consensus::hard_state hard_state;
    /// Contiguous; begins right after the snapshot, or at 1.
    std::vector<log_entry> entries;
    std::optional<consensus::snapshot> snapshot;

    /// True when the node has never received a membership.
    bool empty() const { return !this->snapshot && this->entries.empty(); }
};

/// State of the one node that founds a group; to be stored by
/// log_store::save_snapshot before the node is created. The other initial voters start
/// empty and are given this state by the founder. The founder must know that
/// all of them are empty, since a founder that has lost its disk would
/// otherwise found a second group.
persistent_state founding_state(membership initial);

void to_json(nlohmann::json& out, log_entry const& entry);
void from_json(nlohmann::json const& in, log_entry& entry);
void to_json(nlohmann::json& out, membership const& members);
void from_json(nlohmann::json const& in, membership& members);
void to_json(nlohmann::json& out, hard_state const& state);
void from_json(nlohmann::json const& in, hard_state& state);
/// `data` is encoded as MessagePack binary.
void to_json(nlohmann::json& out, snapshot const& state);
void from_json(nlohmann::json const& in, snapshot& state);

} // namespace lagoonladder::consensus

#endif
