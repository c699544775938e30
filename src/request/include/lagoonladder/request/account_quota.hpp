#ifndef LAGOONLADDER_REQUEST_ACCOUNT_QUOTA_HPP
#define LAGOONLADDER_REQUEST_ACCOUNT_QUOTA_HPP

#include <cstdint>
#include <map>
#include <optional>

#include <lagoonladder/base.hpp>

namespace lagoonladder::request
{

/// Limit of an account over all entries together.
struct account_limit
{
    double tokens_per_second = 0;
    double burst = 0;
    /// Tokens beyond `burst` that all entries together may be ahead of the rate. It
    /// makes up for requests that come unevenly to the entries.
    double allowance = 0;
};

/// Demand for an account as the entries told it to each other last.
struct peer_demand
{
    /// Tokens a second that this entry told. The others' figures are older than the
    /// present, and a comparison with a present own figure would count growth twice.
    double own = 0;
    /// Tokens a second that all other entries together were asked for.
    double others = 0;
    std::uint32_t entries = 1;
    /// Entries that hold the account's tokens and lend them to the others; 0 while each
    /// entry holds a part.
    std::uint32_t quota_holder_count = 0;
    /// This entry is one of the quota_holder_count.
    bool is_quota_holder = false;
};

struct quota_decision
{
    bool granted = true;
    /// When refused: time until the tokens are there.
    duration retry_after{};
    /// When refused: tokens that are missing now.
    double missing = 0;
};

/// This entry's part of the token quotas of client accounts. The parts follow the
/// demand at each entry, as the entries tell it to each other, so that their sum
/// stays at the limit. A request that is larger than the entry's part can be served
/// with tokens that other entries lend: these are taken from the lender's part, so
/// that no lost or repeated message makes the sum larger. In a system of many entries the
/// parts would be smaller than a request, so a few quota_holder_count hold the tokens of an account,
/// and the others borrow for each request. Not safe for concurrent calls.
class account_quota
{
public:
    /// Takes tokens for one request, or refuses it.
    quota_decision take(time_point now, account_id const& account, account_limit const& limit,
                        peer_demand const& peers, double tokens);

    /// Takes tokens for a request that `take` refused before, with what other entries lent for
    /// it. Its demand is not counted again.
    quota_decision take_with_loan(time_point now, account_id const& account, account_limit const& limit,
                              peer_demand const& peers, double tokens, double lent);

    /// Tokens to ask each of the other entries for, so that enough have some to spare.
    static double tokens_to_request(double missing, std::size_t lenders);

    /// Gives away up to `wanted` tokens that this entry does not need at once; a keeper gives
    /// all of them or none.
    double lend(time_point now, account_id const& account, account_limit const& limit,
                peer_demand const& peers, double wanted);

    /// Adds tokens that came too late for their request. They count like the entry's own,
    /// so that no more than its part is saved up.
    void deposit(account_id const& account, double tokens);

    /// Tokens a second that were asked for here, refused ones included.
    std::map<account_id, double> demand(time_point now);

    /// This entry's part of the limit, 0 to 1.
    static double share_of(peer_demand const& peers);

private:
    struct bucket
    {
        double available = 0;
        double asked = 0;
        time_point updated{};
        bool is_new = true;
        bool was_keeper = false;
    };

    static void decay(bucket& known, time_point now);
    /// The most that this entry's bucket holds.
    static double capacity_of(account_limit const& limit, peer_demand const& peers);
    /// Adds what has come since the last update. Returns the capacity.
    static double refill(bucket& known, time_point now, account_limit const& limit,
                         peer_demand const& peers);
    static quota_decision grant(bucket& known, account_limit const& limit, peer_demand const& peers,
                                double tokens);

    std::map<account_id, bucket> buckets;
};

} // namespace lagoonladder::request

#endif
