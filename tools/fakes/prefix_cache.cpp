#include "prefix_cache.hpp"

#include <array>
#include <cstdio>

namespace lagoonladder::fakes
{

namespace
{

constexpr std::uint64_t lost_event_period = 7;
constexpr std::size_t kept_events = 10'000;

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
    auto const known = this->entries.find(hash);
    if (known != this->entries.end())
    {
        this->recent.splice(this->recent.begin(), this->recent, known->second);
        return;
    }
    this->recent.push_front(hash);
    this->entries[hash] = this->recent.begin();
    this->add_event(now, hash, "stored");
    if (this->entries.size() <= this->limit)
        return;
    this->add_event(now, this->recent.back(), "evicted");
    this->entries.erase(this->recent.back());
    this->recent.pop_back();
}

void prefix_cache::add_event(time_point now, std::uint64_t hash, std::string const& kind)
{
    this->events.push_back({now, this->next_sequence++, hexadecimal(hash), kind});
    if (this->events.size() > kept_events)
        this->events.pop_front();
}

nlohmann::json prefix_cache::take_events(time_point now)
{
    auto result = nlohmann::json::array();
    while (!this->events.empty() && this->events.front().when + this->delay <= now)
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
