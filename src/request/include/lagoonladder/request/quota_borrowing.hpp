#ifndef LAGOONLADDER_REQUEST_QUOTA_BORROWING_HPP
#define LAGOONLADDER_REQUEST_QUOTA_BORROWING_HPP

#include <cstdint>
#include <map>

#include <lagoonladder/base.hpp>
#include <lagoonladder/request/quota_holder_round.hpp>

namespace lagoonladder::request
{

/// Decides when other entries are asked for tokens of an account's quota, so that an
/// account far over its limit does not make the entries ask each other all the time.
class quota_borrowing
{
public:
    /// Each round asks all other entries.
    static constexpr std::uint32_t max_open_rounds = 4;
    /// Each round asks one keeper or a few. Rounds stay open while keepers are silent, and
    /// calls within the quota come meanwhile.
    static constexpr std::uint32_t max_open_quota_holder_rounds = 32;
    /// After a refusal the others have nothing to spare for a while.
    static constexpr duration pause = milliseconds(250);

    /// Whether to ask now; the caller then tells the end of the round.
    bool begin_round(time_point now, account_id const& account, bool has_keepers);

    void end_round(time_point now, account_id const& account, lending_outcome const& outcome);

private:
    struct rounds
    {
        std::uint32_t open = 0;
        time_point paused_until{};
    };

    std::map<account_id, rounds> accounts;
};

} // namespace lagoonladder::request

#endif
