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
    /// AppendEntries of Raft; without entries it is a heartbeat.
    append_request,
    append_reply,
    snapshot_chunk,
    snapshot_reply,
    /// Request of a follower to the leader for a read index.
    read_request,
    read_reply
};

/// Chunk of a snapshot. The message's `index` and `log_term` identify the snapshot.
struct snapshot_part
{
    consensus::membership membership;
    /// Offset of `data` in the snapshot, in bytes.
    std::uint64_t offset = 0;
    /// Size of the complete snapshot, in bytes.
    std::uint64_t total = 0;
    std::string data;

    friend bool operator==(snapshot_part const&, snapshot_part const&) = default;
};

/// Message between two nodes. Fields that a message type does not use keep their defaults.
struct message
{
    message_type type = message_type::append_request;
    voter_id from;
    /// The address is in node::membership(). A joining node has no membership yet, so its replies
    /// are delivered to the VM of this id (vm_of).
    voter_id to;
    /// Term of the sender; in a prevote request and in a granted prevote, the term of the intended
    /// election.
    term_number term;
    /// Vote and prevote requests: last log index of the candidate. Append requests: index of the
    /// entry before `entries` (prevLogIndex). Append replies: last matching index, or the rejected
    /// index. Otherwise the index of a snapshot or the read index.
    log_index index;
    /// Term of the entry at `index`.
    term_number log_term;
    log_index commit;
    /// Number of the broadcast that an append request or a snapshot chunk belongs to. In a read
    /// request, a number that tells the requester's reads from those before its restart. Echoed in
    /// the reply.
    std::uint64_t round = 0;
    /// In an append or snapshot reply, the number of the reply, by which the follower knows when it
    /// was sent. The leader echoes the latest one in append requests and snapshot chunks: its
    /// `commit` then covers everything that had been committed when that reply was sent.
    std::uint64_t reply_number = 0;
    bool rejected = false;
    /// In a rejected append: last entry of the follower, up to the rejected index, whose term is
    /// at most that of the request. The leader continues its search for the last matching entry
    /// there, skipping entire terms.
    log_index hint_index;
    term_number hint_term;
    std::vector<log_entry> entries;
    std::optional<snapshot_part> part;
    /// Bytes of the snapshot received so far, in a snapshot reply.
    std::uint64_t received = 0;
    /// Number of a read, assigned by its requester.
    std::uint64_t context = 0;

    friend bool operator==(message const&, message const&) = default;
};

/// Conversions for the MessagePack encoding. from_json throws nlohmann::json::exception on a
/// malformed message and consensus_error on an unknown message or entry type; decode_message is to
/// be used for bytes from the network.
void to_json(nlohmann::json& out, message const& value);
void from_json(nlohmann::json const& in, message& value);

/// Returns the MessagePack bytes that Consensus.Step carries.
std::string encode_message(message const& value);
/// Throws consensus_error when the bytes are not a valid message.
message decode_message(std::string const& bytes);

} // namespace lagoonladder::consensus

#endif
