#ifndef LAGOONLADDER_REQUEST_PREFIX_INDEX_HPP
#define LAGOONLADDER_REQUEST_PREFIX_INDEX_HPP

#include <cstdint>
#include <list>
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <lagoonladder/base.hpp>

namespace lagoonladder::request
{

/// Returns the chained hashes of the complete blocks of a prompt: equal hashes mean equal prefixes
/// up to and including that block.
std::vector<std::uint64_t> prefix_blocks(std::string_view prompt, std::size_t block_bytes = 256,
                                         std::size_t max_blocks = 64);

/// Change of the prefix cache of an endpoint.
enum class cache_change
{
    stored,
    removed,
    /// The endpoint dropped its entire cache.
    cleared
};

/// One message of an endpoint's cache event stream.
struct cache_event
{
    /// Incremented by one for each event of an endpoint.
    std::uint64_t sequence = 0;
    cache_change change = cache_change::stored;
    std::vector<std::uint64_t> blocks;
};

enum class cache_event_result
{
    applied,
    /// An event with this or a later sequence was received before; nothing changed.
    duplicate,
    /// Events are missing. The stored blocks of the endpoint were dropped, then this event was
    /// applied.
    gap
};

struct prefix_index_options
{
    std::size_t max_blocks_per_endpoint = 4096;
    std::size_t max_endpoints = 4096;
    /// Blocks that were not confirmed for this time are ignored and dropped.
    duration max_age = std::chrono::minutes(10);
};

/// Bounded index of the endpoints that hold a prompt prefix in their cache. It is a hint that may
/// be wrong in both directions; only the choice of an endpoint depends on it.
class prefix_index
{
public:
    explicit prefix_index(prefix_index_options options = {});

    cache_event_result apply(time_point now, endpoint_id const& endpoint, cache_event const& event);

    /// A request with these blocks was sent to the endpoint; the cache events of the endpoint
    /// follow later.
    void routed(time_point now, endpoint_id const& endpoint,
                std::vector<std::uint64_t> const& blocks);

    /// Fraction of the blocks, from the first on, that the endpoint is expected to hold, 0 to 1.
    double match(time_point now, endpoint_id const& endpoint,
                 std::vector<std::uint64_t> const& blocks) const;

    /// Removes an endpoint that left or restarted.
    void remove(endpoint_id const& endpoint);

    /// Number of blocks over all endpoints.
    std::size_t size() const;

private:
    struct cached_block
    {
        std::uint64_t block = 0;
        time_point confirmed{};
    };

    struct endpoint_blocks
    {
        std::uint64_t sequence = 0;
        bool has_sequence = false;
        time_point last_used{};
        /// Most recently confirmed block first.
        std::list<cached_block> order;
        std::unordered_map<std::uint64_t, std::list<cached_block>::iterator> blocks;
    };

    endpoint_blocks& find_or_add(time_point now, endpoint_id const& endpoint);
    void make_room();
    void store(time_point now, endpoint_blocks& cached, std::uint64_t block) const;
    static void erase_block(endpoint_blocks& cached, std::uint64_t block);

    prefix_index_options options;
    std::map<endpoint_id, endpoint_blocks> endpoints;
};

} // namespace lagoonladder::request

#endif
