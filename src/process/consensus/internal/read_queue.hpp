#ifndef LAGOONLADDER_CONSENSUS_READ_QUEUE_HPP
#define LAGOONLADDER_CONSENSUS_READ_QUEUE_HPP

#include <vector>

#include <lagoonladder/consensus/types.hpp>

namespace lagoonladder::consensus
{

/// Read that a leader has accepted but not confirmed yet.
struct pending_read
{
    /// Node that requested the read: the leader itself or a follower.
    voter_id requester;
    std::uint64_t nonce = 0;
    std::uint64_t context = 0;
    log_index index;
    /// Number of the first broadcast after the read arrived; 0 until it is sent.
    std::uint64_t round = 0;
};

/// Pending reads of a leader. A read waits for the first commit of the leader's term, since the
/// commit index may be outdated until then, and then for a quorum to acknowledge a broadcast that
/// was sent after the read arrived.
class read_queue
{
public:
    void add(pending_read read, bool is_term_committed, log_index commit)
    {
        read.index = commit;
        (is_term_committed ? this->awaiting_quorum : this->awaiting_term_commit)
            .push_back(std::move(read));
    }

    /// To be called when the first entry of the term is committed: sets the index of the reads that
    /// waited for it. Returns whether there were any.
    bool release_awaiting_term(log_index commit)
    {
        for (auto& read : this->awaiting_term_commit)
        {
            read.index = commit;
            this->awaiting_quorum.push_back(std::move(read));
        }
        bool const has_released = !this->awaiting_term_commit.empty();
        this->awaiting_term_commit.clear();
        return has_released;
    }

    void assign_round(std::uint64_t round)
    {
        for (auto& read : this->awaiting_quorum)
            if (read.round == 0)
                read.round = round;
    }

    /// Removes and returns the reads whose round was acknowledged by a quorum.
    std::vector<pending_read> take_confirmed(std::uint64_t quorum_round)
    {
        std::vector<pending_read> confirmed;
        std::vector<pending_read> waiting;
        for (auto& read : this->awaiting_quorum)
        {
            bool const is_confirmed = read.round != 0 && read.round <= quorum_round;
            (is_confirmed ? confirmed : waiting).push_back(std::move(read));
        }
        this->awaiting_quorum = std::move(waiting);
        return confirmed;
    }

    std::vector<pending_read> take_all()
    {
        auto all = std::move(this->awaiting_quorum);
        all.insert(all.end(), this->awaiting_term_commit.begin(), this->awaiting_term_commit.end());
        this->awaiting_quorum.clear();
        this->awaiting_term_commit.clear();
        return all;
    }

private:
    std::vector<pending_read> awaiting_term_commit;
    std::vector<pending_read> awaiting_quorum;
};

} // namespace lagoonladder::consensus

#endif
