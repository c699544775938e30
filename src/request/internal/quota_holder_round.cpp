#include <lagoonladder/request/quota_holder_round.hpp>

#include <algorithm>

namespace lagoonladder::request
{

namespace
{

/// Refusals after which the round ends. Two of four quota holders hold half of all tokens; when
/// both lack enough tokens, the others hold no more.
constexpr std::size_t max_refusals = 2;

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
    if (this->lent >= this->missing || this->refusals >= max_refusals)
        this->over = true;
    // Otherwise a reply has the same effect as a failure: the request to this holder has ended.
    return this->failed(holder);
}

std::optional<std::size_t> quota_holder_round::failed(std::size_t holder)
{
    ++this->completed;
    auto const next = this->reply_overdue(holder);
    if (this->completed == this->asked)
        this->over = true;
    return next;
}

std::optional<std::size_t> quota_holder_round::reply_overdue(std::size_t holder)
{
    if (this->settled[holder])
        return std::nullopt;
    this->settled[holder] = true;
    return this->ask_next();
}

lending_outcome quota_holder_round::outcome() const
{
    return {this->lent, this->lent<this->missing&& this->refusals> 0};
}

void lender_contacts::reply_overdue(time_point now, network_address const& lender)
{
    this->overdue_until[lender] = now + overdue_retention;
}

void lender_contacts::reply_received(network_address const& lender)
{
    this->overdue_until.erase(lender);
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
