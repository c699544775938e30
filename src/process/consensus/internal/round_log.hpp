#ifndef LAGOONLADDER_CONSENSUS_ROUND_LOG_HPP
#define LAGOONLADDER_CONSENSUS_ROUND_LOG_HPP

#include <cstdint>
#include <deque>
#include <optional>

#include <lagoonladder/base.hpp>

namespace lagoonladder::consensus
{

/// Numbers the broadcasts of a leader and keeps when each was sent. Numbers
/// grow over the life of the node, so that replies never match_index a later round.
class round_log
{
public:
    std::uint64_t begin(time_point now, duration keep)
    {
        while (!this->rounds.empty() && this->rounds.front().sent + keep < now)
            this->rounds.pop_front();
        this->rounds.push_back({++this->latest, now});
        return this->latest;
    }

    /// No value for a round that is too old to matter.
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
