#ifndef LAGOONLADDER_REQUEST_ACCOUNT_QUOTA_HPP
#define LAGOONLADDER_REQUEST_ACCOUNT_QUOTA_HPP

#include <cstdint>
#include <map>
#include <optional>

#include <lagoonladder/base.hpp>

namespace lagoonladder::request
{

/// Token quota of an account, over all entries together.
struct account_limit
{
    double tokens_per_second = 0;
    double burst = 0;
    /// Tokens beyond `burst` that all entries together may grant ahead of the rate. They compensate
    /// for requests that arrive unevenly at the entries.
    double allowance = 0;
};

/// The entries that share the tokens of one account, and their demand as they reported it to each
/// other last. The demand is for logs only: reports arrive late and do not divide the quota.
struct peer_demand
{
    /// Tokens per second in the last report of this entry.
    double own = 0;
    /// Tokens per second requested at all other entries together.
    double others = 0;
    std::uint32_t entries = 1;
    /// Number of entries that hold the tokens of the account and lend them to the others; 0 while
    /// each entry holds a share of its own.
    std::uint32_t quota_holder_count = 0;
    /// Whether this entry is one of the quota holders.
    bool is_quota_holder = false;
    /// False while this entry may be cut off from the entries that divide the quota among
    /// themselves: its portion then no longer accrues, and the bucket keeps what it has.
    bool may_accrue = true;
};

/// Tokens that a refused request lacks at its entry.
struct token_shortage
{
    /// Number of tokens that are missing now.
    double missing = 0;
    /// Tokens beyond `missing` that the entry can keep for its next requests.
    double room = 0;
};

struct quota_decision
{
    bool granted = true;
    /// When refused: time until enough tokens are available.
    duration retry_after{};
    /// When refused.
    token_shortage shortage;
};

/// This entry's share of the token quotas of client accounts. All shares are equal, so that their
/// sum is the limit although entries learn of each other's demand late. A request for which the
/// share does not suffice can be served with tokens that other entries lend. Lent tokens are
/// first subtracted at the lender, so that a lost or repeated message never raises the sum. In a
/// system of many entries a share could be smaller than one request; there, a few quota holders
/// hold the tokens of an account, and the other entries borrow for each request. Not safe for
/// concurrent calls.
class account_quota
{
public:
    /// Tokens accrue from the start of the process on. A process that starts again begins without
    /// tokens, since it may have granted all of them before.
    explicit account_quota(time_point process_start);

    /// Takes the tokens of one request, or refuses it.
    quota_decision take(time_point now, account_id const& account, account_limit const& limit,
                        peer_demand const& peers, double tokens);

    /// Takes the tokens of a request that `take` refused before, after adding the tokens that other
    /// entries lent for it. The request is not counted as demand again.
    quota_decision take_with_loan(time_point now, account_id const& account,
                                  account_limit const& limit, peer_demand const& peers,
                                  double tokens, double lent);

    /// Number of tokens to ask each of the other entries for; more than an equal part of what
    /// is missing, because not every entry has tokens to spare and the next requests need some.
    static double tokens_to_request(token_shortage const& shortage, std::size_t lenders);

    /// Lends up to `wanted` tokens that this entry does not need at once. A quota holder lends all
    /// of them or none.
    double lend(time_point now, account_id const& account, account_limit const& limit,
                peer_demand const& peers, double wanted);

    /// Takes back tokens that this entry lent and that arrived too late for their request.
    void take_back(time_point now, account_id const& account, account_limit const& limit,
                   peer_demand const& peers, double tokens);

    /// Adds lent tokens that arrived too late for their request. They count like the entry's own
    /// tokens: the next refill limits the bucket to its capacity.
    void deposit(account_id const& account, double tokens);

    /// Returns the tokens per second that were requested at this entry, including refused requests.
    std::map<account_id, double> demand(time_point now);
    /// Tokens per second of all accounts' requests that were granted, averaged like the demand.
    double granted(time_point now) const;

    /// Returns the tokens in the bucket of this entry as of its last use; no value without one.
    std::optional<double> available(account_id const& account) const;

    /// Share of the limit that belongs to this entry, 0 to 1.
    static double share_of(peer_demand const& peers);

private:
    struct bucket
    {
        double available = 0;
        /// Decaying average of the tokens per second that were requested.
        double demand_rate = 0;
        double granted_rate = 0;
        time_point updated{};
        bool was_quota_holder = false;
    };

    bucket& bucket_of(account_id const& account);
    static void decay(bucket& state, time_point now);
    /// Returns the maximum number of tokens in the bucket of this entry.
    static double capacity_of(account_limit const& limit, peer_demand const& peers);
    /// Adds the tokens that accrued since the last update. Returns the capacity.
    static double refill(bucket& state, time_point now, account_limit const& limit,
                         peer_demand const& peers);
    /// Decides on a request of this entry's callers, whose tokens granted() counts, unlike loans.
    static quota_decision grant_request(bucket& state, account_limit const& limit,
                                        peer_demand const& peers, double tokens);
    static quota_decision grant(bucket& state, account_limit const& limit, peer_demand const& peers,
                                double tokens);

    time_point started;
    std::map<account_id, bucket> buckets;
};

} // namespace lagoonladder::request

#endif
