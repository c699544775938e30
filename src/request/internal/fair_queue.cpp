#include <lagoonladder/request/fair_queue.hpp>

#include <algorithm>
#include <utility>

namespace lagoonladder::request
{

namespace
{

/// Places that an account of the largest weight may hold for each free place.
constexpr double max_held_per_free_place = 2;

double weight_of(std::uint32_t weight)
{
    return std::max<std::uint32_t>(1, weight);
}

} // namespace

void fair_queue::push(queued_request request)
{
    invariant(request.expected_work > 0, "expected work is positive");
    auto& queue = this->accounts[request.account];
    if (queue.requests.empty())
        queue.start = std::max(queue.start, this->virtual_time);
    queue.weight = weight_of(request.weight);
    queue.work += request.expected_work;
    this->total_work += request.expected_work;
    ++this->length;
    queue.requests.push_back(std::move(request));
}

queued_request const* fair_queue::front() const
{
    auto const next = this->next_account();
    return next == this->accounts.end() ? nullptr : &next->second.requests.front();
}

std::optional<queued_request> fair_queue::pop()
{
    auto const next = this->next_account();
    if (next == this->accounts.end())
        return std::nullopt;
    auto& queue = this->accounts.at(next->first);
    auto request = std::move(queue.requests.front());
    queue.requests.pop_front();
    this->virtual_time = std::max(this->virtual_time, queue.start);
    queue.start += request.expected_work / queue.weight;
    this->subtract_removed(queue, request);
    this->remove_idle_accounts();
    return request;
}

bool fair_queue::erase(account_id const& account, request_id const& id)
{
    auto const found = this->accounts.find(account);
    if (found == this->accounts.end())
        return false;
    auto& requests = found->second.requests;
    auto const position =
        std::find_if(requests.begin(), requests.end(),
                     [&](auto const& request) { return request.request_id == id; });
    if (position == requests.end())
        return false;
    auto const request = std::move(*position);
    requests.erase(position);
    this->subtract_removed(found->second, request);
    this->remove_idle_accounts();
    return true;
}

std::vector<queued_request>
fair_queue::erase_if(std::function<bool(queued_request const&, double)> const& give_up)
{
    std::vector<queued_request> removed;
    for (auto& [id, own] : this->accounts)
    {
        double own_ahead = 0;
        std::deque<queued_request> kept;
        for (auto& request : std::exchange(own.requests, {}))
        {
            auto const start = own.start + own_ahead / own.weight;
            if (give_up(request, own_ahead + this->others_ahead(&own, start)))
            {
                this->subtract_removed(own, request);
                removed.push_back(std::move(request));
                continue;
            }
            own_ahead += request.expected_work;
            kept.push_back(std::move(request));
        }
        own.requests = std::move(kept);
    }
    this->remove_idle_accounts();
    return removed;
}

bool fair_queue::has_place(account_id const& account, std::uint32_t weight, std::size_t free) const
{
    auto max_weight = weight_of(weight);
    for (auto const& [id, other] : this->accounts)
        max_weight = std::max(max_weight, other.requests.empty() ? 0 : other.weight);
    auto const found = this->accounts.find(account);
    auto const held = found == this->accounts.end() ? 0 : found->second.requests.size();
    auto const share = weight_of(weight) / max_weight;
    return free > 0 &&
           static_cast<double>(held) < max_held_per_free_place * share * static_cast<double>(free);
}

bool fair_queue::any_first(std::function<bool(queued_request const&)> const& matches) const
{
    return std::any_of(this->accounts.begin(), this->accounts.end(),
                       [&](auto const& item)
                       {
                           auto const& requests = item.second.requests;
                           return !requests.empty() && matches(requests.front());
                       });
}

double fair_queue::work_ahead(account_id const& account, std::uint32_t weight) const
{
    auto const found = this->accounts.find(account);
    if (found == this->accounts.end())
        return this->others_ahead(nullptr, this->virtual_time);
    auto const& own = found->second;
    auto const start = std::max(own.start, this->virtual_time) + own.work / weight_of(weight);
    return own.work + this->others_ahead(&own, start);
}

std::optional<time_point> fair_queue::oldest_arrival() const
{
    std::optional<time_point> oldest;
    for (auto const& [id, queue] : this->accounts)
    {
        if (queue.requests.empty())
            continue;
        auto const arrived = queue.requests.front().arrived;
        oldest = oldest ? std::min(*oldest, arrived) : arrived;
    }
    return oldest;
}

fair_queue::account_map::const_iterator fair_queue::next_account() const
{
    auto best = this->accounts.end();
    for (auto position = this->accounts.begin(); position != this->accounts.end(); ++position)
    {
        if (position->second.requests.empty())
            continue;
        if (best == this->accounts.end() || position->second.start < best->second.start)
            best = position;
    }
    return best;
}

double fair_queue::others_ahead(account_queue const* own, double start) const
{
    double ahead = 0;
    for (auto const& [id, other] : this->accounts)
    {
        if (&other == own || other.requests.empty() || other.start > start)
            continue;
        auto const served =
            other.requests.front().expected_work + (start - other.start) * other.weight;
        ahead += std::min(other.work, served);
    }
    return ahead;
}

void fair_queue::remove_idle_accounts()
{
    if (this->length == 0)
    {
        this->accounts.clear();
        this->virtual_time = 0;
        this->total_work = 0;
        return;
    }
    std::erase_if(this->accounts,
                  [&](auto const& item)
                  {
                      auto const& queue = item.second;
                      return queue.requests.empty() && queue.start <= this->virtual_time;
                  });
}

void fair_queue::subtract_removed(account_queue& from, queued_request const& request)
{
    from.work -= request.expected_work;
    this->total_work -= request.expected_work;
    --this->length;
}

} // namespace lagoonladder::request
