#ifndef LAGOONLADDER_CONSENSUS_READ_QUEUE_HPP
#define LAGOONLADDER_CONSENSUS_READ_QUEUE_HPP

#include <vector>

#include <lagoonladder/consensus/types.hpp>

namespace lagoonladder::consensus
{

/// A read that a leader has accepted.
struct accepted_read
{
    /// Node that asked; the leader itself or a follower.
    voter_id requester;
    std::uint64_t nonce = 0;
    std::uint64_t context = 0;
    log_index index;
    /// First broadcast after the read arrived; 0 until it is sent.
    std::uint64_t round = 0;
};

/// Reads of a leader. A read waits for the first commit of the leader's term,
/// since the commit index may lag behind before, and then for a quorum to
/// answer a broadcast that was sent after the read arrived.
class read_queue
{
public:
    void add(accepted_read read, bool term_committed, log_index commit)
    {
        read.index = commit;
        (term_committed ? this->active : this->early).push_back(std::move(read));
    }

    /// The first entry of the term is committed. True when reads became active.
    bool release_early(log_index commit)
    {
        for (auto& read : this->early)
        {
            read.index = commit;
            this->active.push_back(std::move(read));
        }
        bool const released = !this->early.empty();
        this->early.clear();
        return released;
    }

    void assign_round(std::uint64_t round)
    {
        for (auto& read : this->active)
            if (read.round == 0)
                read.round = round;
    }

    /// Removes and returns the reads whose round was answered by a quorum.
    std::vector<accepted_read> take_confirmed(std::uint64_t quorum_round)
    {
        std::vector<accepted_read> confirmed;
        std::vector<accepted_read> waiting;
        for (auto& read : this->active)
        {
            bool const answered = read.round != 0 && read.round <= quorum_round;
            (answered ? confirmed : waiting).push_back(std::move(read));
        }
        this->active = std::move(waiting);
        return confirmed;
    }

    std::vector<accepted_read> take_all()
    {
        auto all = std::move(this->active);
        all.insert(all.end(), this->early.begin(), this->early.end());
        this->active.clear();
        this->early.clear();
        return all;
    }

private:
    std::vector<accepted_read> early;
    std::vector<accepted_read> active;
};

} // namespace lagoonladder::consensus

#endif
