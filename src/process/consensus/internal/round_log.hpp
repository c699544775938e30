#ifndef LAGOONLADDER_CONSENSUS_ROUND_LOG_HPP
#define LAGOONLADDER_CONSENSUS_ROUND_LOG_HPP

#include <cstdint>
#include <deque>
#include <optional>

#include <lagoonladder/base.hpp>

namespace lagoonladder::consensus
{

/// Numbers the broadcasts (rounds) of a leader and records when each was sent. The numbers increase
/// over the lifetime of the node, so that a reply is never attributed to a later round.
class round_log
{
public:
    /// Starts a round, returns its number and drops rounds sent more than `retention` ago.
    std::uint64_t begin(time_point now, duration retention)
    {
        while (!this->rounds.empty() && this->rounds.front().sent + retention < now)
            this->rounds.pop_front();
        this->rounds.push_back({++this->latest, now});
        return this->latest;
    }

    /// No value for a round that has been dropped.
    std::optional<time_point> sent_at(std::uint64_t number) const
    {
        if (this->rounds.empty() || number < this->rounds.front().number || number > this->latest)
            return std::nullopt;
        return this->rounds[number - this->rounds.front().number].sent;
    }

    std::uint64_t current() const { return this->latest; }

private:
    struct round
    {
        std::uint64_t number;
        time_point sent;
    };

    std::deque<round> rounds;
    std::uint64_t latest = 0;
};

} // namespace lagoonladder::consensus

#endif
