#include <lagoonladder/request/quota_holder_round.hpp>

#include <algorithm>

namespace lagoonladder::request
{

namespace
{

/// Two quota holders without enough tokens hold half of all tokens; the others hold no more.
constexpr std::size_t refusals_to_end = 2;

} // namespace

quota_holder_round::quota_holder_round(std::size_t quota_holder_count, double wanted)
    : count(quota_holder_count)
    , missing(wanted)
    , settled(quota_holder_count)
{
}

std::optional<std::size_t> quota_holder_round::start()
{
    this->over = this->count == 0;
    return this->ask_next();
}

std::optional<std::size_t> quota_holder_round::ask_next()
{
    if (this->over || this->requested == this->count)
        return std::nullopt;
    return this->requested++;
}

std::optional<std::size_t> quota_holder_round::reply_received(std::size_t holder,
                                                              lender_reply const& reply)
{
    if (this->over)
        return std::nullopt;
    this->lent += reply.lent;
    if (reply.is_holder && reply.lent <= 0)
        ++this->refusals;
    if (this->lent >= this->missing || this->refusals >= refusals_to_end)
        this->over = true;
    return this->failed(holder);
}

std::optional<std::size_t> quota_holder_round::failed(std::size_t holder)
{
    ++this->completed;
    auto const next = this->reply_overdue(holder);
    if (this->completed == this->requested)
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
    this->silent_until[lender] = now + silence_retention;
}

void lender_contacts::reply_received(network_address const& lender)
{
    this->silent_until.erase(lender);
}

std::vector<network_address>
lender_contacts::order(time_point now, std::vector<network_address> lenders, random_source& random)
{
    std::erase_if(this->silent_until, [&](auto const& contact) { return contact.second <= now; });
    for (auto left = lenders.size(); left > 1; --left)
        std::swap(lenders[left - 1], lenders[random.below(left)]);
    std::stable_partition(lenders.begin(), lenders.end(),
                          [&](network_address const& lender)
                          { return !this->silent_until.contains(lender); });
    return lenders;
}

} // namespace lagoonladder::request
