#include <lagoonladder/request/account_quota.hpp>

#include <algorithm>
#include <cmath>

namespace lagoonladder::request
{

namespace
{

/// Time constant of the demand; requests of seconds ago still tell where the next ones come.
constexpr duration demand_memory = seconds(4);
/// Part of the equal share that an entry without demand keeps, so that its first
/// requests are not refused while the others learn of them.
constexpr double least_part_of_equal_share = 0.25;
constexpr duration longest_retry_after = seconds(5);
/// A request may take the whole allowance, but a larger one could never be granted.
constexpr double least_burst_seconds = 1;
/// Entries differ in what they can spare; what was lent in excess serves the next requests.
constexpr double lending_reserve = 6;
/// Part of its bucket that an entry keeps for its own next requests when it lends.
constexpr double kept_part = 0.25;
/// Part of its capacity that a new keeper starts with: the one before it may have spent
/// the rest.
constexpr double taken_over_part = 0.5;

bool is_borrower(peer_demand const& peers)
{
    return peers.quota_holder_count > 0 && !peers.is_quota_holder;
}

double burst_of(account_limit const& limit)
{
    return std::max(limit.burst, limit.tokens_per_second * least_burst_seconds);
}

} // namespace

double account_quota::share_of(peer_demand const& peers)
{
    if (peers.quota_holder_count > 0)
        return peers.is_quota_holder ? 1.0 / peers.quota_holder_count : 0;
    auto const equal = 1.0 / std::max(peers.entries, 1U);
    auto const total = peers.own + peers.others;
    auto const by_demand = total > 0 ? peers.own / total : equal;
    // Scaled so that the floors of entries without demand do not lift the sum over the limit.
    return least_part_of_equal_share * equal + (1 - least_part_of_equal_share) * by_demand;
}

void account_quota::decay(bucket& known, time_point now)
{
    auto const age = to_seconds(std::max(duration(0), now - known.updated));
    known.asked *= std::exp(-age / to_seconds(demand_memory));
}

double account_quota::capacity_of(account_limit const& limit, peer_demand const& peers)
{
    // What a borrower got beyond its request serves its next one.
    if (is_borrower(peers))
        return burst_of(limit) / std::max(peers.entries, 1U);
    auto const holders = peers.quota_holder_count > 0 ? peers.quota_holder_count : std::max(peers.entries, 1U);
    return burst_of(limit) * share_of(peers) + limit.allowance / holders;
}

double account_quota::refill(bucket& known, time_point now, account_limit const& limit,
                             peer_demand const& peers)
{
    auto const most = capacity_of(limit, peers);
    if (!known.is_new)
        decay(known, now);
    if (known.is_new || known.was_keeper != peers.is_quota_holder)
    {
        auto const first = peers.is_quota_holder ? taken_over_part * most : most;
        known.available = is_borrower(peers) ? 0 : first;
    }
    else
    {
        auto const elapsed = to_seconds(std::max(duration(0), now - known.updated));
        auto const refilled = known.available + limit.tokens_per_second * share_of(peers) * elapsed;
        known.available = std::min(most, refilled);
    }
    known.is_new = false;
    known.was_keeper = peers.is_quota_holder;
    known.updated = now;
    return most;
}

quota_decision account_quota::grant(bucket& known, account_limit const& limit,
                                    peer_demand const& peers, double tokens)
{
    // A request larger than the allowance goes through when the allowance is full.
    auto const most =
        is_borrower(peers) ? burst_of(limit) + limit.allowance : capacity_of(limit, peers);
    auto const needed = std::min(tokens, most);
    if (known.available >= needed)
    {
        known.available -= tokens;
        // Nothing flows in at a borrower that would pay back a debt.
        if (is_borrower(peers))
            known.available = std::max(known.available, 0.0);
        return {};
    }
    auto const missing = needed - known.available;
    auto const share = is_borrower(peers) ? 1.0 / std::max(peers.entries, 1U) : share_of(peers);
    auto const rate = limit.tokens_per_second * share;
    auto const wait = rate > 0 ? from_seconds(missing / rate) : longest_retry_after;
    return {false, std::min<duration>(wait, longest_retry_after), missing};
}

quota_decision account_quota::take(time_point now, account_id const& account,
                                   account_limit const& limit, peer_demand const& peers,
                                   double tokens)
{
    auto& known = this->buckets[account];
    refill(known, now, limit, peers);
    known.asked += tokens / to_seconds(demand_memory);
    return grant(known, limit, peers, tokens);
}

quota_decision account_quota::take_with_loan(time_point now, account_id const& account,
                                         account_limit const& limit, peer_demand const& peers,
                                         double tokens, double lent)
{
    auto& known = this->buckets[account];
    refill(known, now, limit, peers);
    known.available += lent;
    return grant(known, limit, peers, tokens);
}

double account_quota::tokens_to_request(double missing, std::size_t lenders)
{
    return lenders == 0 ? 0 : lending_reserve * missing / static_cast<double>(lenders);
}

double account_quota::lend(time_point now, account_id const& account, account_limit const& limit,
                           peer_demand const& peers, double wanted)
{
    auto& known = this->buckets[account];
    auto const most = refill(known, now, limit, peers);
    if (peers.quota_holder_count > 0)
    {
        // Part of a request serves nobody, and the tokens would be lost to the others.
        auto const gives = peers.is_quota_holder && wanted > 0;
        return gives && grant(known, limit, peers, wanted).granted ? wanted : 0;
    }
    auto const spare = known.available - kept_part * most;
    auto const given = std::clamp(spare, 0.0, std::max(wanted, 0.0));
    known.available -= given;
    return given;
}

void account_quota::deposit(account_id const& account, double tokens)
{
    this->buckets[account].available += tokens;
}

std::map<account_id, double> account_quota::demand(time_point now)
{
    std::map<account_id, double> out;
    for (auto const& [account, known] : this->buckets)
    {
        auto const age = to_seconds(std::max(duration(0), now - known.updated));
        auto const rate = known.asked * std::exp(-age / to_seconds(demand_memory));
        if (rate >= 1)
            out.emplace(account, rate);
    }
    return out;
}

} // namespace lagoonladder::request
