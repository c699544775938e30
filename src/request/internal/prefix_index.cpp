#include <lagoonladder/request/prefix_index.hpp>

#include <algorithm>

namespace lagoonladder::request
{

std::vector<std::uint64_t> prefix_blocks(std::string_view prompt, std::size_t block_bytes,
                                         std::size_t max_blocks)
{
    invariant(block_bytes > 0, "prefix blocks have a size");
    std::vector<std::uint64_t> blocks;
    std::uint64_t chained_hash = 0;
    while (prompt.size() >= block_bytes && blocks.size() < max_blocks)
    {
        chained_hash = stable_hash(prompt.substr(0, block_bytes), chained_hash);
        blocks.push_back(chained_hash);
        prompt.remove_prefix(block_bytes);
    }
    return blocks;
}

prefix_index::prefix_index(prefix_index_options initial)
    : options(initial)
{
}

cache_event_result prefix_index::apply(time_point now, endpoint_id const& endpoint,
                                       cache_event const& event)
{
    auto& cached = this->find_or_add(now, endpoint);
    if (cached.has_sequence && event.sequence <= cached.sequence)
        return cache_event_result::duplicate;
    auto const is_gap = cached.has_sequence && event.sequence != cached.sequence + 1;
    if (is_gap || event.change == cache_change::cleared)
    {
        cached.order.clear();
        cached.blocks.clear();
    }
    cached.has_sequence = true;
    cached.sequence = event.sequence;
    for (auto const block : event.blocks)
    {
        if (event.change == cache_change::stored)
            this->store(now, cached, block);
        else
            erase_block(cached, block);
    }
    return is_gap ? cache_event_result::gap : cache_event_result::applied;
}

void prefix_index::routed(time_point now, endpoint_id const& endpoint,
                          std::vector<std::uint64_t> const& blocks)
{
    auto& cached = this->find_or_add(now, endpoint);
    // The first block is the most useful one, so it is stored last and dropped last.
    for (auto block = blocks.rbegin(); block != blocks.rend(); ++block)
        this->store(now, cached, *block);
}

double prefix_index::match(time_point now, endpoint_id const& endpoint,
                           std::vector<std::uint64_t> const& blocks) const
{
    auto const found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end() || blocks.empty())
        return 0;
    std::size_t matched = 0;
    for (auto const block : blocks)
    {
        auto const position = found->second.blocks.find(block);
        if (position == found->second.blocks.end() ||
            now - position->second->confirmed >= this->options.max_age)
            break;
        ++matched;
    }
    return static_cast<double>(matched) / static_cast<double>(blocks.size());
}

void prefix_index::remove(endpoint_id const& endpoint)
{
    this->endpoints.erase(endpoint);
}

std::size_t prefix_index::size() const
{
    std::size_t count = 0;
    for (auto const& [id, cached] : this->endpoints)
        count += cached.blocks.size();
    return count;
}

prefix_index::endpoint_blocks& prefix_index::find_or_add(time_point now,
                                                         endpoint_id const& endpoint)
{
    if (!this->endpoints.contains(endpoint))
        this->make_room();
    auto& cached = this->endpoints[endpoint];
    cached.last_used = now;
    return cached;
}

void prefix_index::make_room()
{
    if (this->endpoints.size() < this->options.max_endpoints)
        return;
    auto const oldest = std::min_element(this->endpoints.begin(), this->endpoints.end(),
                                         [](auto const& left, auto const& right) {
                                             return left.second.last_used < right.second.last_used;
                                         });
    if (oldest != this->endpoints.end())
        this->endpoints.erase(oldest);
}

void prefix_index::store(time_point now, endpoint_blocks& cached, std::uint64_t block) const
{
    erase_block(cached, block);
    cached.order.push_front({block, now});
    cached.blocks[block] = cached.order.begin();
    while (cached.order.size() > this->options.max_blocks_per_endpoint ||
           now - cached.order.back().confirmed >= this->options.max_age)
        erase_block(cached, cached.order.back().block);
}

void prefix_index::erase_block(endpoint_blocks& cached, std::uint64_t block)
{
    auto const found = cached.blocks.find(block);
    if (found == cached.blocks.end())
        return;
    cached.order.erase(found->second);
    cached.blocks.erase(found);
}

} // namespace lagoonladder::request
