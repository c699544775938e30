#include <lagoonladder/request/quota_holder_round.hpp>

#include <algorithm>

namespace lagoonladder::request
{

namespace
{

/// Refusals that show that the tokens are used up. All holders are asked before, since unequal
/// reply times can empty two of four holders below the quota.
constexpr std::size_t min_refusals = 2;
/// Holders whose overdue reply is not waited for once the others refused. More than one may hold
/// half of the tokens.
constexpr std::size_t max_silent_holders = 1;
/// Weight of a new reply time in the moving average.
constexpr double reply_time_weight = 0.25;
/// Ratio of the time after which the next lender is asked to the lender's usual reply time.
constexpr int reply_timeout_factor = 2;
/// Leaves time for the reply of the next lender, if that one is not slow.
constexpr duration max_reply_timeout = quota_holder_round::max_duration * 3 / 4;

} // namespace

quota_holder_round::quota_holder_round(std::size_t holder_count, double missing_tokens)
    : quota_holder_count(holder_count)
    , missing(missing_tokens)
    , settled(holder_count)
{
}

std::optional<std::size_t> quota_holder_round::start()
{
    this->over = this->quota_holder_count == 0;
    return this->ask_next();
}

std::optional<std::size_t> quota_holder_round::ask_next()
{
    if (this->over || this->asked == this->quota_holder_count)
        return std::nullopt;
    return this->asked++;
}

std::optional<std::size_t> quota_holder_round::reply_received(std::size_t holder,
                                                              lender_reply const& reply)
{
    if (this->over)
        return std::nullopt;
    this->lent += reply.lent;
    if (reply.is_holder && reply.lent <= 0)
        ++this->refusals;
    if (this->lent >= this->missing)
        this->over = true;
    // Otherwise a reply has the same effect as a failure: the request to this holder has ended.
    return this->failed(holder);
}

std::optional<std::size_t> quota_holder_round::failed(std::size_t holder)
{
    ++this->completed;
    auto const next = this->reply_overdue(holder);
    this->over = this->over || this->completed == this->asked || this->is_refused();
    return next;
}

std::optional<std::size_t> quota_holder_round::reply_overdue(std::size_t holder)
{
    if (this->settled[holder])
        return std::nullopt;
    this->settled[holder] = true;
    auto const next = this->ask_next();
    this->over = this->over || this->is_refused();
    return next;
}

bool quota_holder_round::is_refused() const
{
    bool const is_expecting_reply =
        !std::all_of(this->settled.begin(), this->settled.end(), [](bool done) { return done; });
    return !is_expecting_reply && this->asked - this->completed <= max_silent_holders &&
           this->refusals >= std::min(min_refusals, this->quota_holder_count);
}

lending_outcome quota_holder_round::outcome() const
{
    return {this->lent, this->lent < this->missing && this->is_refused()};
}

void lender_contacts::reply_overdue(time_point now, network_address const& lender)
{
    this->overdue_until[lender] = now + overdue_retention;
}

void lender_contacts::reply_received(network_address const& lender)
{
    this->overdue_until.erase(lender);
}

void lender_contacts::record_reply_time(network_address const& lender, duration elapsed)
{
    auto const [position, is_first] = this->reply_times.try_emplace(lender, elapsed);
    if (is_first)
        return;
    auto const change = to_seconds(elapsed - position->second);
    position->second += from_seconds(reply_time_weight * change);
}

duration lender_contacts::reply_timeout(network_address const& lender) const
{
    auto const found = this->reply_times.find(lender);
    // Until it has replied once, a lender is expected to take as long as the others.
    auto const usual = found != this->reply_times.end() ? found->second : this->mean_reply_time();
    return std::clamp<duration>(reply_timeout_factor * usual, quota_holder_round::reply_timeout,
                                max_reply_timeout);
}

duration lender_contacts::mean_reply_time() const
{
    if (this->reply_times.empty())
        return duration(0);
    auto total = duration(0);
    for (auto const& [lender, time] : this->reply_times)
        total += time;
    return total / static_cast<int>(this->reply_times.size());
}

std::vector<network_address>
lender_contacts::order(time_point now, std::vector<network_address> lenders, random_source& random)
{
    std::erase_if(this->overdue_until, [&](auto const& contact) { return contact.second <= now; });
    for (auto remaining = lenders.size(); remaining > 1; --remaining)
        std::swap(lenders[remaining - 1], lenders[random.below(remaining)]);
    std::stable_partition(lenders.begin(), lenders.end(),
                          [&](network_address const& lender)
                          { return !this->overdue_until.contains(lender); });
    return lenders;
}

} // namespace lagoonladder::request
