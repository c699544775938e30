#ifndef LAGOONLADDER_PROXY_QUOTA_BORROWING_HPP
#define LAGOONLADDER_PROXY_QUOTA_BORROWING_HPP

#include <cstdint>
#include <map>

#include <lagoonladder/base.hpp>

namespace lagoonladder::proxy
{

/// Decides when other entries are asked for tokens of an account's quota, so that an
/// account far over its limit does not make the entries ask each other all the time.
class quota_borrowing
{
public:
    static constexpr std::uint32_t max_open_rounds = 4;
    /// After a round that brought too little, the others have nothing to spare for a while.
    static constexpr duration pause = milliseconds(250);

    /// Whether to ask now; the caller then tells the end of the round.
    bool begin_round(time_point now, account_id const& account);

    void end_round(time_point now, account_id const& account, bool brought_enough);

private:
    struct rounds
    {
        std::uint32_t open = 0;
        time_point paused_until{};
    };

    std::map<account_id, rounds> accounts;
};

} // namespace lagoonladder::proxy

#endif
