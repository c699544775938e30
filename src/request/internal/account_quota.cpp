#include <lagoonladder/request/account_quota.hpp>

#include <algorithm>
#include <cmath>

namespace lagoonladder::request
{

namespace
{

/// Time constant of the demand: the requests of the last few seconds predict at which entries the
/// next ones arrive.
constexpr duration demand_time_constant = seconds(4);
constexpr duration max_retry_after = seconds(5);
/// Minimum burst in seconds of the rate, so that a limit with a small burst has room for the tokens
/// of an entire request.
constexpr double min_burst_seconds = 1;
/// Ratio of the tokens that the other entries are asked for to those that are missing, besides
/// those for the next requests. It is larger than 1, because entries differ in what they can spare.
constexpr double loan_request_factor = 2;
/// Fraction of its capacity that an entry reserves for its own next requests when it lends.
constexpr double reserved_fraction = 0.25;
/// Fraction of its capacity with which a new quota holder starts at most: the previous holder may
/// have spent the rest.
constexpr double new_holder_fraction = 0.5;

bool is_borrower(peer_demand const& peers)
{
    return peers.quota_holder_count > 0 && !peers.is_quota_holder;
}

double burst_of(account_limit const& limit)
{
    return std::max(limit.burst, limit.tokens_per_second * min_burst_seconds);
}

} // namespace

double account_quota::share_of(peer_demand const& peers)
{
    if (peers.quota_holder_count > 0)
        return peers.is_quota_holder ? 1.0 / peers.quota_holder_count : 0;
    return 1.0 / std::max(peers.entries, 1U);
}

account_quota::account_quota(time_point process_start)
    : started(process_start)
{
}

account_quota::bucket& account_quota::bucket_of(account_id const& account)
{
    auto const [position, is_new] = this->buckets.try_emplace(account);
    if (is_new)
        position->second.updated = this->started;
    return position->second;
}

void account_quota::decay(bucket& state, time_point now)
{
    auto const age = to_seconds(std::max(duration(0), now - state.updated));
    auto const factor = std::exp(-age / to_seconds(demand_time_constant));
    state.demand_rate *= factor;
    state.granted_rate *= factor;
}

double account_quota::capacity_of(account_limit const& limit, peer_demand const& peers)
{
    // Tokens that a borrower received beyond its request serve its next one.
    if (is_borrower(peers))
        return burst_of(limit) / std::max(peers.entries, 1U);
    auto const holders =
        peers.quota_holder_count > 0 ? peers.quota_holder_count : std::max(peers.entries, 1U);
    return burst_of(limit) * share_of(peers) + limit.allowance / holders;
}

double account_quota::refill(bucket& state, time_point now, account_limit const& limit,
                             peer_demand const& peers)
{
    auto const capacity = capacity_of(limit, peers);
    decay(state, now);
    auto const elapsed = to_seconds(std::max(duration(0), now - state.updated));
    auto const accrued = peers.may_accrue ? limit.tokens_per_second * share_of(peers) * elapsed : 0;
    if (peers.is_quota_holder && !state.was_quota_holder)
        state.available = std::min(new_holder_fraction * capacity, state.available + accrued);
    else if (is_borrower(peers) && state.was_quota_holder)
        state.available = 0;
    else
        state.available = std::min(capacity, state.available + accrued);
    state.was_quota_holder = peers.is_quota_holder;
    state.updated = now;
    return capacity;
}

quota_decision account_quota::grant(bucket& state, account_limit const& limit,
                                    peer_demand const& peers, double tokens)
{
    // A request larger than the capacity is granted when the bucket is full.
    auto const capacity =
        is_borrower(peers) ? burst_of(limit) + limit.allowance : capacity_of(limit, peers);
    auto const needed = std::min(tokens, capacity);
    if (state.available >= needed)
    {
        state.available -= tokens;
        // No tokens accrue at a borrower that could pay back a debt.
        if (is_borrower(peers))
            state.available = std::max(state.available, 0.0);
        return {};
    }
    // Other requests of a borrower may use what is left of earlier loans before this one's loan
    // arrives, so that it borrows all of its tokens.
    auto const missing = is_borrower(peers) ? needed : needed - state.available;
    auto const share = is_borrower(peers) ? 1.0 / std::max(peers.entries, 1U) : share_of(peers);
    auto const rate = limit.tokens_per_second * share;
    auto const wait = rate > 0 ? from_seconds(missing / rate) : max_retry_after;
    auto const room = capacity_of(limit, peers);
    return {false, std::min<duration>(wait, max_retry_after), {missing, room}};
}

quota_decision account_quota::grant_request(bucket& state, account_limit const& limit,
                                            peer_demand const& peers, double tokens)
{
    auto const decision = grant(state, limit, peers, tokens);
    if (decision.granted)
        state.granted_rate += tokens / to_seconds(demand_time_constant);
    return decision;
}

quota_decision account_quota::take(time_point now, account_id const& account,
                                   account_limit const& limit, peer_demand const& peers,
                                   double tokens)
{
    auto& state = this->bucket_of(account);
    refill(state, now, limit, peers);
    state.demand_rate += tokens / to_seconds(demand_time_constant);
    return grant_request(state, limit, peers, tokens);
}

quota_decision account_quota::take_with_loan(time_point now, account_id const& account,
                                             account_limit const& limit, peer_demand const& peers,
                                             double tokens, double lent)
{
    auto& state = this->bucket_of(account);
    refill(state, now, limit, peers);
    state.available += lent;
    return grant_request(state, limit, peers, tokens);
}

double account_quota::tokens_to_request(token_shortage const& shortage, std::size_t lenders)
{
    auto const wanted = loan_request_factor * shortage.missing + shortage.room;
    return lenders == 0 ? 0 : wanted / static_cast<double>(lenders);
}

double account_quota::lend(time_point now, account_id const& account, account_limit const& limit,
                           peer_demand const& peers, double wanted)
{
    auto& state = this->bucket_of(account);
    auto const capacity = refill(state, now, limit, peers);
    if (peers.quota_holder_count > 0)
    {
        // A part of the tokens does not serve the request and would be missing for other entries.
        auto const is_lender = peers.is_quota_holder && wanted > 0;
        return is_lender && grant(state, limit, peers, wanted).granted ? wanted : 0;
    }
    auto const spare = state.available - reserved_fraction * capacity;
    auto const lent = std::clamp(spare, 0.0, std::max(wanted, 0.0));
    state.available -= lent;
    return lent;
}

void account_quota::take_back(time_point now, account_id const& account, account_limit const& limit,
                              peer_demand const& peers, double tokens)
{
    auto& state = this->bucket_of(account);
    auto const capacity = refill(state, now, limit, peers);
    // An entry that is no quota holder any more has a successor, whose bucket fills on its own.
    if (is_borrower(peers))
        return;
    state.available = std::max(state.available, std::min(capacity, state.available + tokens));
}

void account_quota::deposit(account_id const& account, double tokens)
{
    this->bucket_of(account).available += tokens;
}

std::map<account_id, double> account_quota::demand(time_point now)
{
    std::map<account_id, double> out;
    for (auto const& [account, state] : this->buckets)
    {
        auto const age = to_seconds(std::max(duration(0), now - state.updated));
        auto const rate = state.demand_rate * std::exp(-age / to_seconds(demand_time_constant));
        if (rate >= 1)
            out.emplace(account, rate);
    }
    return out;
}

double account_quota::granted(time_point now) const
{
    double total = 0;
    for (auto const& [account, state] : this->buckets)
    {
        auto const age = to_seconds(std::max(duration(0), now - state.updated));
        total += state.granted_rate * std::exp(-age / to_seconds(demand_time_constant));
    }
    return total;
}

std::optional<double> account_quota::available(account_id const& account) const
{
    auto const found = this->buckets.find(account);
    if (found == this->buckets.end())
        return std::nullopt;
    return found->second.available;
}

} // namespace lagoonladder::request
