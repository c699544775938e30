#ifndef LAGOONLADDER_VERSION_CONTENT_ASSEMBLY_HPP
#define LAGOONLADDER_VERSION_CONTENT_ASSEMBLY_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <lagoonladder/version/content.hpp>

namespace lagoonladder::version
{

/// Contents of which some parts have arrived. Part of the replicated state, so that
/// parts outlive the leader that stored them. Deterministic.
class content_assembly
{
public:
    /// Parts that do not fit the earlier ones of the content are ignored.
    /// `index` is the position in the log.
    void add(std::uint64_t index, content_part const& part);

    /// Positions of the parts that are here, in order.
    std::vector<std::uint64_t> held_offsets(content_digest const& digest) const;

    /// The content once all parts are here. A content that does not have its digest
    /// is dropped.
    std::optional<packed_content> find(content_digest const& digest);

    void remove(content_digest const& digest) { this->contents.erase(digest); }

    nlohmann::json snapshot() const;
    void restore(nlohmann::json const& in);

    /// Contents that operators may send at once; the one that has waited longest
    /// for a part makes room for another one.
    static constexpr std::size_t max_contents = 16;

    /// Bytes of all parts; bounds the memory of a voter and its snapshot.
    static constexpr std::uint64_t max_held_bytes = 4 * max_content_bytes;

private:
    struct partial_content
    {
        std::uint64_t total = 0;
        std::uint64_t last_index = 0;
        std::map<std::uint64_t, std::string> parts;
    };

    std::uint64_t held_bytes() const;
    /// Drops other contents until a part of this one fits.
    void make_room(content_digest const& digest, std::uint64_t part_bytes);
    void forget_oldest_except(content_digest const& digest);

    std::map<content_digest, partial_content> contents;
};

} // namespace lagoonladder::version

#endif
