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

/// Error of the consensus library: invalid options, an inconsistent stored state or a malformed
/// message.
class consensus_error : public error
{
public:
    using error::error;
};

/// Id of a member, "VM#INCARNATION". A VM that lost its log joins again with another incarnation,
/// so that votes and acknowledgements given with the lost log never count.
using voter_id = strong_id<struct voter_id_tag>;
using term_number = strong_number<struct term_number_tag>;
/// Position in the log; the first entry has index 1.
using log_index = strong_number<struct log_index_tag>;

voter_id make_voter_id(vm_id const& vm, std::uint64_t incarnation);

/// VM part of a voter id; the entire text when it has no incarnation.
vm_id vm_of(voter_id const& id);

enum class entry_kind
{
    /// Appended by each new leader; carries no data.
    no_operation,
    command,
    /// `data` is an encoded membership. The node handles this kind itself.
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

/// Voters and learners of the group with their control addresses.
struct membership
{
    std::map<voter_id, network_address> voters;
    /// Members that receive the log but do not count towards a quorum.
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
        /// Turns a learner that has all committed entries into a voter.
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
    /// Voter that this node voted for in `term`; empty when it has not voted.
    voter_id vote;
    /// Last index known to be committed. May be stored later than term and vote.
    log_index commit;

    friend bool operator==(hard_state const&, hard_state const&) = default;
};

/// State of the replicated state machine after the entry at `index`.
struct snapshot
{
    log_index index;
    term_number term;
    consensus::membership membership;
    /// State encoded by the application; empty for the initial state.
    std::string data;

    friend bool operator==(snapshot const&, snapshot const&) = default;
};

/// State that a node has on disk. Empty for a joining node.
struct persistent_state
{
    consensus::hard_state hard_state;
    /// Contiguous entries that begin directly after the snapshot, or at index 1 without one.
    std::vector<log_entry> entries;
    std::optional<consensus::snapshot> snapshot;

    /// True when the node has never received a membership.
    bool empty() const { return !this->snapshot && this->entries.empty(); }
};

/// Initial state of the founder, the single node that bootstraps a group. The caller stores it by
/// log_store::save_snapshot before it creates the node. The other initial voters start with an
/// empty state and receive this one from the founder. The founder must know that all of them are
/// empty; otherwise a founder that has lost its disk would bootstrap a second group.
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
