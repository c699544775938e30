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

/// Prompt prefixes of which the engine keeps the KV cache, least recently used
/// evicted first. Not safe for several threads.
class prefix_cache
{
public:
    /// Tokens that share one cache entry.
    static constexpr std::size_t block_tokens = 16;

    prefix_cache(std::size_t entry_limit, duration event_delay);

    /// Stores all prefixes of a prompt; returns how many of its tokens were cached before.
    std::size_t use(time_point now, std::vector<std::string> const& tokens);

    /// Cache events that are older than the delay; each is returned once, and
    /// every seventh is lost.
    nlohmann::json take_events(time_point now);

private:
    struct cache_event
    {
        time_point when;
        std::uint64_t sequence;
        std::string prefix_hash;
        std::string kind;
    };

    void store(time_point now, std::uint64_t hash);
    void add_event(time_point now, std::uint64_t hash, std::string const& kind);

    std::size_t limit;
    duration delay;
    std::list<std::uint64_t> recent;
    std::map<std::uint64_t, std::list<std::uint64_t>::iterator> entries;
    std::deque<cache_event> events;
    std::uint64_t next_sequence = 1;
};

} // namespace lagoonladder::fakes

#endif
