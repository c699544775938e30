#ifndef LAGOONLADDER_CONSENSUS_SNAPSHOT_ASSEMBLY_HPP
#define LAGOONLADDER_CONSENSUS_SNAPSHOT_ASSEMBLY_HPP

#include <lagoonladder/consensus/message.hpp>

namespace lagoonladder::consensus
{

/// Assembles one snapshot from its chunks. A chunk of another leader, term or snapshot discards the
/// collected chunks, since two leaders may encode the same state differently.
class snapshot_assembly
{
public:
    /// Adds a chunk; returns true when the snapshot is complete.
    bool add(message const& chunk)
    {
        auto const& part = *chunk.part;
        if (chunk.from != this->sender || chunk.term != this->sender_term ||
            chunk.index != this->partial_snapshot.index)
        {
            this->sender = chunk.from;
            this->sender_term = chunk.term;
            this->partial_snapshot = {chunk.index, chunk.log_term, part.membership, {}};
        }
        if (part.offset == this->partial_snapshot.data.size())
            this->partial_snapshot.data += part.data;
        return this->partial_snapshot.data.size() == part.total;
    }

    std::uint64_t received() const { return this->partial_snapshot.data.size(); }

    snapshot take()
    {
        auto complete_snapshot = std::move(this->partial_snapshot);
        *this = {};
        return complete_snapshot;
    }

private:
    voter_id sender;
    term_number sender_term;
    snapshot partial_snapshot;
};

} // namespace lagoonladder::consensus

#endif
