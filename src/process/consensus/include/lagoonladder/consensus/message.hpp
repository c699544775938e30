#ifndef LAGOONLADDER_CONSENSUS_MESSAGE_HPP
#define LAGOONLADDER_CONSENSUS_MESSAGE_HPP

#include <lagoonladder/consensus/types.hpp>

namespace lagoonladder::consensus
{

enum class message_type
{
    prevote_request,
    prevote_reply,
    vote_request,
    vote_reply,
    /// Also the heartbeat.
    append_request,
    append_reply,
    snapshot_chunk,
    snapshot_reply,
    /// A follower asks the leader for a read index.
    read_request,
    read_reply
};

/// Part of a snapshot. index and log_term of the message name the snapshot.
struct snapshot_part
{
    consensus::membership membership;
    /// Position of `data` in the snapshot, in bytes.
    std::uint64_t offset = 0;
    /// Size of the whole snapshot, in bytes.
    std::uint64_t total = 0;
    std::string data;

    friend bool operator==(snapshot_part const&, snapshot_part const&) = default;
};

/// Message between two nodes. Fields that a type does not use keep their defaults.
struct message
{
    message_type type = message_type::append_request;
    voter_id from;
    /// Addresses are in node::membership(). A node that joins has no membership
    /// yet; its replies are delivered to the VM of this id (vm_of).
    voter_id to;
    /// Term of the sender; of a prevote, the term that it would campaign for.
    term_number term;
    /// Last index of a candidate; entry before `entries`; last matching entry in
    /// an append reply; rejected index in a rejection; index of a snapshot or a read.
    log_index index;
    /// Term of the entry at `index`.
    term_number log_term;
    log_index commit;
    /// Number of the broadcast that an append request belongs to; echoed in the reply.
    std::uint64_t round = 0;
    bool rejected = false;
    /// In a rejected append: where the leader continues, see log matching.
    log_index hint_index;
    term_number hint_term;
    std::vector<log_entry> entries;
    std::optional<snapshot_part> part;
    /// Bytes of the snapshot received so far, in a snapshot reply.
    std::uint64_t received = 0;
    /// Context of a read.
    std::uint64_t context = 0;

    friend bool operator==(message const&, message const&) = default;
};

/// Encodes for MessagePack. from_json throws nlohmann::json::exception on a
/// malformed message; use decode_message for bytes from the network.
void to_json(nlohmann::json& out, message const& value);
void from_json(nlohmann::json const& in, message& value);

/// MessagePack bytes, as carried by Consensus.Step.
std::string encode_message(message const& value);
/// Throws consensus_error when the bytes are no message.
message decode_message(std::string const& bytes);

} // namespace lagoonladder::consensus

#endif
