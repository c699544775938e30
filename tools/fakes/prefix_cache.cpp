#include "prefix_cache.hpp"

#include <array>
#include <cstdio>

namespace lagoonladder::fakes
{

namespace
{

constexpr std::uint64_t lost_event_period = 7;
constexpr std::size_t max_events = 10'000;

std::string hexadecimal(std::uint64_t value)
{
    std::array<char, 20> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return text.data();
}

} // namespace

prefix_cache::prefix_cache(std::size_t entry_limit, duration event_delay)
    : limit(entry_limit)
    , delay(event_delay)
{
}

std::size_t prefix_cache::use(time_point now, std::vector<std::string> const& tokens)
{
    std::size_t cached = 0;
    bool prefix_is_cached = true;
    std::uint64_t hash = 0;
    for (std::size_t first = 0; first + block_tokens <= tokens.size(); first += block_tokens)
    {
        for (std::size_t i = first; i < first + block_tokens; ++i)
            hash = stable_hash(tokens[i], hash);
        prefix_is_cached = prefix_is_cached && this->entries.count(hash) > 0;
        if (prefix_is_cached)
            cached = first + block_tokens;
        this->store(now, hash);
    }
    return cached;
}

void prefix_cache::store(time_point now, std::uint64_t hash)
{
    if (this->limit == 0)
        return;
    auto const entry = this->entries.find(hash);
    if (entry != this->entries.end())
    {
        this->hashes_by_use.splice(this->hashes_by_use.begin(), this->hashes_by_use, entry->second);
        return;
    }
    this->hashes_by_use.push_front(hash);
    this->entries[hash] = this->hashes_by_use.begin();
    this->add_event(now, hash, "stored");
    if (this->entries.size() <= this->limit)
        return;
    this->add_event(now, this->hashes_by_use.back(), "evicted");
    this->entries.erase(this->hashes_by_use.back());
    this->hashes_by_use.pop_back();
}

void prefix_cache::add_event(time_point now, std::uint64_t hash, std::string const& kind)
{
    this->events.push_back({now, this->next_sequence++, hexadecimal(hash), kind});
    if (this->events.size() > max_events)
        this->events.pop_front();
}

nlohmann::json prefix_cache::take_events(time_point now)
{
    auto result = nlohmann::json::array();
    while (!this->events.empty() && this->events.front().time + this->delay <= now)
    {
        auto const& front = this->events.front();
        if (front.sequence % lost_event_period != 0)
            result.push_back({{"sequence", front.sequence},
                              {"prefix_hash", front.prefix_hash},
                              {"event", front.kind}});
        this->events.pop_front();
    }
    return result;
}

} // namespace lagoonladder::fakes
