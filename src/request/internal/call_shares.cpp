#include <lagoonladder/request/call_shares.hpp>

#include <algorithm>
#include <cmath>
#include <vector>

namespace lagoonladder::request
{

namespace
{

/// Time constant of the counts. At an entry that gets a call of an account every two seconds, four
/// calls of it count.
constexpr duration time_constant = seconds(8);
/// Calls that count as served in addition to the real ones, so that one refusal of an account with
/// few calls does not make it look refused altogether.
constexpr double assumed_served = 1;
/// No account may be served less than a quarter as often as all. The margin covers the calls that
/// are refused before the count shows it.
constexpr double underserved_ratio = 0.35;
/// Recent calls of a more urgent kind from which on less urgent ones are compared with it.
constexpr double min_compared_calls = 3;
/// Fraction of all calls that the fair shares cover at most. It is below 1, so that the largest
/// accounts exceed their share from the first moment of a shortage.
constexpr double max_shared_fraction = 0.9;
/// Utilisation of the engines that is assumed while calls wait. At full utilisation, urgent calls
/// would not wait at all.
constexpr double assumed_utilisation = 0.85;
/// Counts below this are dropped.
constexpr double min_count = 0.01;
/// Number of accounts from which on those without recent calls are dropped.
constexpr std::size_t min_accounts_to_clean = 256;

/// Weight of a call of this age.
double decay_factor(duration age)
{
    return std::exp(-to_seconds(std::max(duration(0), age)) / to_seconds(time_constant));
}

} // namespace

void call_shares::call_count::decay(time_point now)
{
    auto const factor = decay_factor(now - this->updated);
    this->offered *= factor;
    this->served *= factor;
    this->updated = now;
}

double call_shares::call_count::served_fraction() const
{
    return (this->served + assumed_served) / (this->offered + assumed_served);
}

call_shares::call_count call_shares::decayed(call_count count, time_point now)
{
    count.decay(now);
    return count;
}

void call_shares::add(call_count& count, time_point now, bool is_served)
{
    count.decay(now);
    count.offered += 1;
    count.served += is_served ? 1 : 0;
}

void call_shares::record(time_point now, account_id const& account, std::uint32_t priority,
                         bool is_served)
{
    add(this->total, now, is_served);
    add(this->accounts[account], now, is_served);
    add(this->priorities[priority], now, is_served);
    if (this->accounts.size() < min_accounts_to_clean)
        return;
    std::erase_if(this->accounts,
                  [&](auto const& item) { return decayed(item.second, now).offered < min_count; });
}

void call_shares::remove(call_count& count, time_point now, double weight)
{
    count.decay(now);
    count.offered = std::max(0.0, count.offered - weight);
    count.served = std::max(0.0, count.served - weight);
}

void call_shares::withdraw(time_point now, time_point recorded, account_id const& account,
                           std::uint32_t priority)
{
    auto const weight = decay_factor(now - recorded);
    remove(this->total, now, weight);
    remove(this->accounts[account], now, weight);
    remove(this->priorities[priority], now, weight);
}

bool call_shares::is_underserved(time_point now, account_id const& account) const
{
    auto const found = this->accounts.find(account);
    if (found == this->accounts.end())
        return false;
    return decayed(found->second, now).served_fraction() <
           underserved_ratio * decayed(this->total, now).served_fraction();
}

bool call_shares::is_favoured(time_point now, std::uint32_t priority) const
{
    auto const own = this->priorities.find(priority);
    if (own == this->priorities.end())
        return false;
    auto const own_fraction = decayed(own->second, now).served_fraction();
    return std::any_of(this->priorities.begin(), own,
                       [&](auto const& more_urgent)
                       {
                           auto const count = decayed(more_urgent.second, now);
                           return count.offered >= min_compared_calls &&
                                  count.served_fraction() < own_fraction;
                       });
}

double call_shares::fair_share(time_point now) const
{
    std::vector<double> offered;
    offered.reserve(this->accounts.size());
    for (auto const& [account, count] : this->accounts)
        offered.push_back(decayed(count, now).offered);
    std::sort(offered.begin(), offered.end());
    auto const all = decayed(this->total, now);
    auto left = std::min(all.served, max_shared_fraction * all.offered);
    for (std::size_t i = 0; i < offered.size(); ++i)
    {
        auto const share = left / static_cast<double>(offered.size() - i);
        if (offered[i] >= share)
            return share;
        left -= offered[i];
    }
    return all.offered;
}

double call_shares::fair_fraction(time_point now, account_id const& account) const
{
    auto const found = this->accounts.find(account);
    if (found == this->accounts.end())
        return 1;
    auto const offered = decayed(found->second, now).offered;
    return offered <= min_count ? 1 : std::min(1.0, this->fair_share(now) / offered);
}

double call_shares::wait_fraction(time_point now, std::uint32_t priority) const
{
    double more_urgent = 0;
    double as_urgent = 0;
    for (auto const& [counted_priority, count] : this->priorities)
    {
        auto const served = decayed(count, now).served;
        more_urgent += counted_priority < priority ? served : 0;
        as_urgent += counted_priority <= priority ? served : 0;
    }
    auto const all = decayed(this->total, now).served + assumed_served;
    auto const before = assumed_utilisation * more_urgent / all;
    auto const until = assumed_utilisation * (as_urgent + assumed_served) / all;
    // Mean waits of a queue with priorities relative to one without. The calls that wait are mostly
    // the less urgent ones, more so than those that are served.
    return std::min(1.0, (1 - assumed_utilisation) / ((1 - before) * (1 - until)));
}

double call_shares::served_rate(time_point now) const
{
    return decayed(this->total, now).served / to_seconds(time_constant);
}

} // namespace lagoonladder::request
