#ifndef LAGOONLADDER_FAKES_PREFIX_CACHE_HPP
#define LAGOONLADDER_FAKES_PREFIX_CACHE_HPP

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <lagoonladder/base.hpp>

namespace lagoonladder::fakes
{

/// Prompt prefixes whose KV cache the engine keeps; the least recently used one is evicted
/// first. Not thread-safe.
class prefix_cache
{
public:
    /// Number of tokens per cache entry.
    static constexpr std::size_t block_tokens = 16;

    prefix_cache(std::size_t entry_limit, duration event_delay);

    /// Stores all prefixes of a prompt. Returns how many of its tokens were already cached.
    std::size_t use(time_point now, std::vector<std::string> const& tokens);

    /// Removes and returns the events that are older than the delay. Every seventh event is
    /// dropped to simulate lost reports.
    nlohmann::json take_events(time_point now);

private:
    struct cache_event
    {
        time_point time;
        std::uint64_t sequence;
        std::string prefix_hash;
        std::string kind;
    };

    void store(time_point now, std::uint64_t hash);
    void add_event(time_point now, std::uint64_t hash, std::string const& kind);

    std::size_t limit;
    duration delay;
    /// Hashes of the cached prefixes; the most recently used one is first.
    std::list<std::uint64_t> hashes_by_use;
    std::map<std::uint64_t, std::list<std::uint64_t>::iterator> entries;
    std::deque<cache_event> events;
    std::uint64_t next_sequence = 1;
};

} // namespace lagoonladder::fakes

#endif
