#include "memory_ledger.hpp"

#include <algorithm>

namespace lagoonladder::http
{

memory_ledger::memory_ledger(std::uint64_t total_bytes)
    : limit(total_bytes)
    , large_limit(static_cast<std::uint64_t>(static_cast<double>(total_bytes) * large_share))
{
}

memory_ledger::holding_id memory_ledger::open(time_point now)
{
    auto& opened = this->holdings[++this->last_id];
    opened.last_progress = now;
    return this->last_id;
}

void memory_ledger::close(holding_id id)
{
    auto const found = this->holdings.find(id);
    if (found == this->holdings.end())
        return;
    this->set_bytes(found->second, 0);
    this->holdings.erase(found);
}

memory_ledger::decision memory_ledger::resize(time_point now, holding_id id, std::uint64_t bytes,
                                              demand kind)
{
    decision result;
    auto& resized = this->holdings.at(id);
    result.is_granted = !resized.is_released;
    if (resized.is_released)
        return result;
    auto const others = this->used_bytes - resized.bytes;
    bool const is_large = bytes > small_bytes && kind == demand::refusable;
    auto const bound = is_large ? this->large_limit : this->limit;
    bool const has_room = bytes <= resized.bytes || others + bytes <= bound ||
                          (is_large && this->is_only_large_one(id));
    if (!has_room)
    {
        auto const missing = others + bytes - bound;
        std::uint64_t found = 0;
        for (auto const& candidate_to_release : this->find_candidates(now, id, bytes, kind))
        {
            if (found >= missing)
                break;
            found += candidate_to_release.bytes;
            result.released.push_back(candidate_to_release.id);
        }
        result.is_granted = found >= missing || kind == demand::binding;
    }
    if (!result.is_granted)
        result.released.clear();
    else
        this->set_bytes(resized, bytes);
    for (auto const released : result.released)
    {
        this->set_bytes(this->holdings.at(released), 0);
        this->holdings.at(released).is_released = true;
    }
    return result;
}

void memory_ledger::record_progress(time_point now, holding_id id, std::uint64_t bytes)
{
    auto& advanced = this->holdings.at(id);
    advanced.bytes_since_progress += bytes;
    if (advanced.bytes_since_progress < min_progress_bytes)
        return;
    advanced.bytes_since_progress = 0;
    advanced.last_progress = now;
}

bool memory_ledger::pin(holding_id id)
{
    auto& pinned = this->holdings.at(id);
    pinned.is_pinned = !pinned.is_released;
    return pinned.is_pinned;
}

void memory_ledger::set_bytes(holding& changed, std::uint64_t bytes)
{
    this->used_bytes += bytes - changed.bytes;
    changed.bytes = bytes;
}

bool memory_ledger::is_only_large_one(holding_id id) const
{
    std::uint64_t others = 0;
    for (auto const& [other_id, other] : this->holdings)
    {
        if (other_id == id)
            continue;
        if (other.bytes > small_bytes)
            return false;
        others += other.bytes;
    }
    return others <= this->limit - this->large_limit;
}

std::vector<memory_ledger::candidate> memory_ledger::find_candidates(time_point now, holding_id id,
                                                                     std::uint64_t bytes,
                                                                     demand kind) const
{
    bool const is_binding = kind == demand::binding;
    std::vector<candidate> candidates;
    for (auto const& [other_id, other] : this->holdings)
    {
        if (other.is_pinned || other.bytes == 0 || (other_id == id && !is_binding))
            continue;
        bool const is_stalled = now >= other.last_progress + stall_time;
        bool const yields_to_small = bytes <= small_bytes && other.bytes > small_bytes;
        if (is_stalled || yields_to_small || is_binding)
            candidates.push_back({other_id, other.bytes, is_stalled});
    }
    std::sort(candidates.begin(), candidates.end(),
              [](candidate const& left, candidate const& right)
              {
                  if (left.is_stalled != right.is_stalled)
                      return left.is_stalled;
                  return left.bytes > right.bytes;
              });
    return candidates;
}

} // namespace lagoonladder::http
