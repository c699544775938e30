#ifndef LAGOONLADDER_REQUEST_CALL_SHARES_HPP
#define LAGOONLADDER_REQUEST_CALL_SHARES_HPP

#include <cstdint>
#include <map>

#include <lagoonladder/base.hpp>

namespace lagoonladder::request
{

/// Counts how many of the recent calls of each account and of each priority were served. The counts
/// decay, so that they follow changes of demand within seconds. Not safe for concurrent calls.
class call_shares
{
public:
    void record(time_point now, account_id const& account, std::uint32_t priority, bool is_served);

    /// Takes a call back that was recorded as served at `recorded`, as if it had not been made.
    void withdraw(time_point now, time_point recorded, account_id const& account,
                  std::uint32_t priority);

    /// Whether the account was served so much less often than all accounts together that its next
    /// call goes before the calls of others.
    bool is_underserved(time_point now, account_id const& account) const;

    /// Whether calls of this priority were served more often than more urgent ones.
    bool is_favoured(time_point now, std::uint32_t priority) const;

    /// Fraction of the account's calls that its fair share covers, from 0 to 1. An account below
    /// its fair share has 1. What it leaves is shared by the others.
    double fair_fraction(time_point now, account_id const& account) const;

    /// Wait of a call of this priority, which overtakes less urgent ones, as a fraction of the wait
    /// behind all waiting calls; 1 while there are few calls.
    double wait_fraction(time_point now, std::uint32_t priority) const;

    /// Calls served per second.
    double served_rate(time_point now) const;

private:
    struct call_count
    {
        double offered = 0;
        double served = 0;
        time_point updated{};

        void decay(time_point now);
        /// Estimated chance of a call to be served; near 1 while there are few calls.
        double served_fraction() const;
    };

    static call_count decayed(call_count count, time_point now);
    static void add(call_count& count, time_point now, bool is_served);
    /// Removes a served call whose weight is `weight` by now.
    static void remove(call_count& count, time_point now, double weight);
    /// Returns the number of recent calls up to which an account is within its fair share.
    double fair_share(time_point now) const;

    call_count total;
    std::map<account_id, call_count> accounts;
    std::map<std::uint32_t, call_count> priorities;
};

} // namespace lagoonladder::request

#endif
