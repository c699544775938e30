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
};

struct quota_decision
{
    bool granted = true;
    /// When refused: time until the tokens are there.
    duration retry_after{};
};

/// This entry's part of the token quotas of client accounts. The parts follow the
/// demand at each entry, as the entries tell it to each other, so that their sum
/// stays at the limit. Not safe for concurrent calls.
class account_quota
{
public:
    /// Takes tokens for one request, or refuses it.
    quota_decision take(time_point now, account_id const& account, account_limit const& limit,
                        peer_demand const& peers, double tokens);

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
    };

    static void decay(bucket& known, time_point now);

    std::map<account_id, bucket> buckets;
};

} // namespace lagoonladder::request

#endif
