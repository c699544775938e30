#include <lagoonladder/version/content_assembly.hpp>

#include <algorithm>

#include "binary_json.hpp"

namespace lagoonladder::version
{

namespace
{

bool is_well_formed(content_part const& part)
{
    auto const expected_size =
        part.offset < part.total ? std::min(part.total - part.offset, max_content_part_bytes) : 0;
    return part.total <= max_content_bytes && part.offset % max_content_part_bytes == 0 &&
           expected_size > 0 && part.bytes.size() == expected_size;
}

} // namespace

void content_assembly::add(std::uint64_t index, content_part const& part)
{
    if (!is_well_formed(part))
        return;
    auto const existing = this->contents.find(part.digest);
    if (existing != this->contents.end() && existing->second.total != part.total)
        return;
    if (existing == this->contents.end() || !existing->second.parts.contains(part.offset))
        this->free_space_for(part.digest, part.bytes.size());
    auto& content = this->contents[part.digest];
    content.total = part.total;
    content.last_index = index;
    content.parts.try_emplace(part.offset, part.bytes);
}

std::uint64_t content_assembly::held_bytes() const
{
    std::uint64_t sum = 0;
    for (auto const& [digest, content] : this->contents)
    {
        for (auto const& [offset, bytes] : content.parts)
            sum += bytes.size();
    }
    return sum;
}

void content_assembly::free_space_for(content_digest const& digest, std::uint64_t part_bytes)
{
    if (!this->contents.contains(digest) && this->contents.size() >= max_contents)
        this->remove_oldest_except(digest);
    // Terminates, because a single content is smaller than the limit.
    while (this->held_bytes() + part_bytes > max_held_bytes)
        this->remove_oldest_except(digest);
}

void content_assembly::remove_oldest_except(content_digest const& digest)
{
    auto oldest = this->contents.end();
    for (auto it = this->contents.begin(); it != this->contents.end(); ++it)
    {
        bool const is_older =
            oldest == this->contents.end() || it->second.last_index < oldest->second.last_index;
        if (it->first != digest && is_older)
            oldest = it;
    }
    invariant(oldest != this->contents.end(),
              "a single content is smaller than the limit of all contents");
    this->contents.erase(oldest);
}

std::vector<std::uint64_t> content_assembly::held_offsets(content_digest const& digest) const
{
    std::vector<std::uint64_t> offsets;
    auto const found = this->contents.find(digest);
    if (found == this->contents.end())
        return offsets;
    for (auto const& [offset, bytes] : found->second.parts)
        offsets.push_back(offset);
    return offsets;
}

std::optional<packed_content> content_assembly::find(content_digest const& digest)
{
    auto const found = this->contents.find(digest);
    if (found == this->contents.end())
        return std::nullopt;
    std::string bytes;
    for (auto const& [offset, part] : found->second.parts)
        bytes += part;
    if (bytes.size() != found->second.total)
        return std::nullopt;
    try
    {
        return make_packed(digest, std::move(bytes));
    }
    catch (parse_error const&)
    {
        this->contents.erase(found);
        return std::nullopt;
    }
}

nlohmann::json content_assembly::snapshot() const
{
    auto out = nlohmann::json::array();
    for (auto const& [digest, content] : this->contents)
    {
        auto parts = nlohmann::json::array();
        for (auto const& [offset, bytes] : content.parts)
            parts.push_back({offset, binary_json(bytes)});
        out.push_back({{"digest", digest},
                       {"total", content.total},
                       {"last_index", content.last_index},
                       {"parts", std::move(parts)}});
    }
    return out;
}

void content_assembly::restore(nlohmann::json const& in)
{
    this->contents.clear();
    for (auto const& item : in)
    {
        partial_content content;
        item.at("total").get_to(content.total);
        item.at("last_index").get_to(content.last_index);
        for (auto const& part : item.at("parts"))
            content.parts.emplace(part.at(0).get<std::uint64_t>(), binary_from(part.at(1)));
        this->contents.emplace(item.at("digest").get<content_digest>(), std::move(content));
    }
}

} // namespace lagoonladder::version
