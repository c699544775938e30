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
    this->discard_expired(now);
    // An earlier mark with the same id belongs to an earlier incarnation.
    std::erase_if(this->marks, [&](auto const& pending)
                  { return pending.mark->kind == mark.kind && pending.mark->id == mark.id; });
    pending_mark new_mark;
    new_mark.mark = std::make_shared<leaving_mark const>(std::move(mark));
    new_mark.added_at = now;
    if (!source.value().empty())
        new_mark.known_by.insert(source);
    this->marks.push_back(std::move(new_mark));
}

void leaving_mark_disseminator::record_known(vm_id const& peer, mark_kind kind,
                                             std::string const& id)
{
    for (auto& pending : this->marks)
    {
        if (pending.mark->kind == kind && pending.mark->id == id)
            pending.known_by.insert(peer);
    }
}

std::optional<time_point> leaving_mark_disseminator::next_round() const
{
    std::optional<time_point> earliest;
    for (auto const& pending : this->marks)
    {
        if (!this->is_fully_sent(pending))
            earliest = std::min(earliest.value_or(pending.added_at), pending.added_at);
    }
    if (!earliest)
        return std::nullopt;
    auto const batch_ready_at = *earliest + this->options.batching_delay;
    return this->last_round
               ? std::max(batch_ready_at, *this->last_round + this->options.round_interval)
               : batch_ready_at;
}

std::vector<mark_message> leaving_mark_disseminator::round(time_point now, std::vector<vm_id> peers,
                                                           random_source& random)
{
    this->discard_expired(now);
    this->last_round = now;
    std::vector<mark_message> messages;
    while (messages.size() < this->options.fan_out && !peers.empty())
    {
        std::swap(peers[random.below(peers.size())], peers.back());
        auto message = this->take_marks(peers.back(), true);
        peers.pop_back();
        if (!message.marks.empty())
            messages.push_back(std::move(message));
    }
    return messages;
}

mark_message leaving_mark_disseminator::reply_for(time_point now, vm_id const& peer)
{
    this->discard_expired(now);
    return this->take_marks(peer, false);
}

mark_message leaving_mark_disseminator::take_marks(vm_id const& peer, bool skip_fully_sent)
{
    mark_message message;
    message.to = peer;
    for (auto& pending : this->marks)
    {
        if ((skip_fully_sent && this->is_fully_sent(pending)) || pending.known_by.contains(peer))
            continue;
        pending.known_by.insert(peer);
        ++pending.sent_count;
        message.marks.push_back(pending.mark);
    }
    return message;
}

void leaving_mark_disseminator::record_failure(mark_message const& message)
{
    for (auto& pending : this->marks)
    {
        auto const found = std::find(message.marks.begin(), message.marks.end(), pending.mark);
        if (found == message.marks.end() || pending.known_by.erase(message.to) == 0)
            continue;
        pending.sent_count -= std::min<std::size_t>(pending.sent_count, 1);
    }
}

bool leaving_mark_disseminator::is_fully_sent(pending_mark const& pending) const
{
    return pending.sent_count >= this->options.sends_per_mark;
}

void leaving_mark_disseminator::discard_expired(time_point now)
{
    std::erase_if(this->marks, [&](auto const& pending)
                  { return now - pending.added_at >= this->options.mark_retention; });
}

} // namespace lagoonladder::connection
