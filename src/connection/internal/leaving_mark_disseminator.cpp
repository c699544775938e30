#include <lagoonladder/connection/leaving_mark_disseminator.hpp>

#include <algorithm>
#include <utility>

namespace lagoonladder::connection
{

leaving_mark_disseminator::leaving_mark_disseminator(leaving_mark_disseminator_options initial)
    : options(initial)
{
}

void leaving_mark_disseminator::add(time_point now, leaving_mark mark, vm_id const& source)
{
    this->forget_old(now);
    // An earlier mark of the same id is of an earlier incarnation.
    std::erase_if(this->marks, [&](auto const& one)
                  { return one.mark->kind == mark.kind && one.mark->id == mark.id; });
    spreading_mark added;
    added.mark = std::make_shared<leaving_mark const>(std::move(mark));
    added.since = now;
    if (!source.value().empty())
        added.known_by.insert(source);
    this->marks.push_back(std::move(added));
}

void leaving_mark_disseminator::record_known(vm_id const& peer, mark_kind kind, std::string const& id)
{
    for (auto& one : this->marks)
    {
        if (one.mark->kind == kind && one.mark->id == id)
            one.known_by.insert(peer);
    }
}

std::optional<time_point> leaving_mark_disseminator::next_round() const
{
    std::optional<time_point> first;
    for (auto const& one : this->marks)
    {
        if (!this->is_told(one))
            first = std::min(first.value_or(one.since), one.since);
    }
    if (!first)
        return std::nullopt;
    auto const gathered = *first + this->options.gather_time;
    return this->last_round ? std::max(gathered, *this->last_round + this->options.round_interval)
                            : gathered;
}

std::vector<mark_message> leaving_mark_disseminator::round(time_point now, std::vector<vm_id> peers,
                                               random_source& random)
{
    this->forget_old(now);
    this->last_round = now;
    std::vector<mark_message> messages;
    while (messages.size() < this->options.fan_out && !peers.empty())
    {
        std::swap(peers[random.below(peers.size())], peers.back());
        auto message = this->take(peers.back(), true);
        peers.pop_back();
        if (!message.marks.empty())
            messages.push_back(std::move(message));
    }
    return messages;
}

mark_message leaving_mark_disseminator::reply_for(time_point now, vm_id const& peer)
{
    this->forget_old(now);
    return this->take(peer, false);
}

mark_message leaving_mark_disseminator::take(vm_id const& peer, bool only_untold)
{
    mark_message message;
    message.to = peer;
    for (auto& one : this->marks)
    {
        if ((only_untold && this->is_told(one)) || one.known_by.contains(peer))
            continue;
        one.known_by.insert(peer);
        ++one.told;
        message.marks.push_back(one.mark);
    }
    return message;
}

void leaving_mark_disseminator::record_failure(mark_message const& message)
{
    for (auto& one : this->marks)
    {
        auto const found = std::find(message.marks.begin(), message.marks.end(), one.mark);
        if (found == message.marks.end() || one.known_by.erase(message.to) == 0)
            continue;
        one.told -= std::min<std::size_t>(one.told, 1);
    }
}

bool leaving_mark_disseminator::is_told(spreading_mark const& one) const
{
    return one.told >= this->options.tells_per_mark;
}

void leaving_mark_disseminator::forget_old(time_point now)
{
    std::erase_if(this->marks,
                  [&](auto const& one) { return now - one.since >= this->options.spread_time; });
}

} // namespace lagoonladder::connection
