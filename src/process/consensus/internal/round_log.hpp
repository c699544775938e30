#ifndef LAGOONLADDER_CONSENSUS_ROUND_LOG_HPP
#define LAGOONLADDER_CONSENSUS_ROUND_LOG_HPP

#include <cstdint>
#include <deque>
#include <optional>

#include <lagoonladder/base.hpp>

namespace lagoonladder::consensus
{

/// Numbers the broadcasts (rounds) of a leader, or the replies of a follower, and records when each
/// was sent. The numbers increase over the lifetime of the node, so that a message is never
/// attributed to a later round.
class round_log
{
public:
    /// `before_first`: number before the one of the first round.
    explicit round_log(std::uint64_t before_first = 0)
        : latest_number(before_first)
    {
    }

    /// Starts a round, returns its number and drops rounds sent more than `retention` ago.
    std::uint64_t begin(time_point now, duration retention)
    {
        while (!this->rounds.empty() && this->rounds.front().sent_at + retention < now)
            this->rounds.pop_front();
        this->rounds.push_back({++this->latest_number, now});
        return this->latest_number;
    }

    /// No value for a round that has been dropped.
    std::optional<time_point> sent_at(std::uint64_t number) const
    {
        if (this->rounds.empty() || number < this->rounds.front().number ||
            number > this->latest_number)
            return std::nullopt;
        return this->rounds[number - this->rounds.front().number].sent_at;
    }

    /// Number of the latest round; the initial number before the first.
    std::uint64_t current() const { return this->latest_number; }

private:
    struct round
    {
        std::uint64_t number;
        time_point sent_at;
    };

    std::deque<round> rounds;
    std::uint64_t latest_number;
};

} // namespace lagoonladder::consensus

#endif
