#include <lagoonladder/connection/leaving_acknowledger.hpp>

#include <algorithm>
#include <utility>

namespace lagoonladder::connection
{

namespace
{

/// Moves the elements that match out of the vector.
template <class Element, class Predicate>
std::vector<Element> take_if(std::vector<Element>& elements, Predicate matches)
{
    auto const rest = std::stable_partition(elements.begin(), elements.end(), std::not_fn(matches));
    std::vector<Element> taken(std::make_move_iterator(rest),
                               std::make_move_iterator(elements.end()));
    elements.erase(rest, elements.end());
    return taken;
}

} // namespace

leaving_acknowledger::leaving_acknowledger(leaving_acknowledger_options initial)
    : options(initial)
{
}

bool leaving_acknowledger::contains(endpoint_id const& id, incarnation incarnation) const
{
    auto const found = this->marks.find(id);
    return found != this->marks.end() && found->second.incarnation == incarnation;
}

void leaving_acknowledger::add(time_point now, endpoint_id const& id, incarnation incarnation)
{
    auto& mark = this->marks[id];
    if (mark.incarnation != incarnation)
    {
        mark.incarnation = incarnation;
        mark.holders.clear();
    }
    mark.last_used = now;
}

void leaving_acknowledger::record_holder(endpoint_id const& id, vm_id const& holder)
{
    auto const found = this->marks.find(id);
    if (found == this->marks.end())
        return;
    auto& mark = found->second;
    mark.holders.insert(holder);
    auto const satisfied = take_if(mark.waits, [&](auto const& wait)
                                   { return mark.holders.size() >= wait.required_holders; });
    for (auto const& wait : satisfied)
        wait.done(true);
}

void leaving_acknowledger::wait(time_point now, endpoint_id const& id,
                                std::size_t available_entries, handler done)
{
    auto& mark = this->marks.at(id);
    mark.last_used = now;
    auto const required = std::min(available_entries, this->options.required_holders);
    if (mark.holders.size() >= required)
        return done(true);
    mark.waits.push_back({now + this->options.timeout, required, std::move(done)});
}

void leaving_acknowledger::expire(time_point now)
{
    std::vector<std::pair<handler, bool>> ended;
    for (auto& [id, mark] : this->marks)
    {
        bool const is_replicated = !mark.holders.empty();
        for (auto& wait :
             take_if(mark.waits, [&](auto const& pending) { return pending.deadline <= now; }))
            ended.emplace_back(std::move(wait.done), is_replicated);
    }
    std::erase_if(this->marks,
                  [&](auto const& item) {
                      return item.second.waits.empty() &&
                             item.second.last_used + this->options.retention <= now;
                  });
    for (auto const& [done, is_replicated] : ended)
        done(is_replicated);
}

std::optional<time_point> leaving_acknowledger::next_deadline() const
{
    std::optional<time_point> earliest;
    for (auto const& [id, mark] : this->marks)
    {
        for (auto const& wait : mark.waits)
            earliest = std::min(earliest.value_or(wait.deadline), wait.deadline);
    }
    return earliest;
}

} // namespace lagoonladder::connection
