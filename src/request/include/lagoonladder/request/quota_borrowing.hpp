#ifndef LAGOONLADDER_REQUEST_QUOTA_BORROWING_HPP
#define LAGOONLADDER_REQUEST_QUOTA_BORROWING_HPP

#include <cstdint>
#include <map>

#include <lagoonladder/base.hpp>
#include <lagoonladder/request/quota_holder_round.hpp>

namespace lagoonladder::request
{

/// Decides when other entries are asked to lend tokens of an account. Limits the messages for an
/// account that is far over its quota.
class quota_borrowing
{
public:
    /// Each round asks all other entries.
    static constexpr std::uint32_t max_open_rounds = 4;
    /// Each round asks one or a few quota holders. More rounds are allowed, because rounds stay
    /// open while quota holders do not reply and requests within the quota arrive meanwhile.
    static constexpr std::uint32_t max_open_quota_holder_rounds = 32;
    /// Time after a refusal during which no round for as many tokens or more begins, because the
    /// other entries have no tokens to spare. A smaller request may still be served.
    static constexpr duration refusal_pause = milliseconds(250);

    /// Whether a round for a request of this many tokens may begin now.
    bool may_begin_round(time_point now, account_id const& account, bool has_quota_holders,
                         double tokens) const;

    /// Begins a round if it may begin now. When it returns true, end_round has to be called at the
    /// end of the round.
    bool begin_round(time_point now, account_id const& account, bool has_quota_holders,
                     double tokens);

    void end_round(time_point now, account_id const& account, lending_outcome const& outcome,
                   double tokens);

private:
    struct account_rounds
    {
        std::uint32_t open = 0;
        time_point paused_until{};
        /// Smallest number of tokens that was refused since the pause began.
        double refused_tokens = 0;
    };

    std::map<account_id, account_rounds> accounts;
};

} // namespace lagoonladder::request

#endif
