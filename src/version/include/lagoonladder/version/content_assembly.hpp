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

/// Collects the parts of contents until they are complete. It belongs to the replicated
/// state, so parts survive the leader that stored them. Deterministic.
class content_assembly
{
public:
    /// Adds a part. Malformed parts, and parts whose `total` differs from that of earlier
    /// parts, are ignored. `index` is the index of the log entry.
    void add(std::uint64_t index, content_part const& part);

    /// Returns the offsets of the stored parts in ascending order.
    std::vector<std::uint64_t> held_offsets(content_digest const& digest) const;

    /// Returns the content if all parts are stored. If the parts do not match the digest,
    /// they are removed.
    std::optional<packed_content> find(content_digest const& digest);

    void remove(content_digest const& digest) { this->contents.erase(digest); }

    nlohmann::json snapshot() const;
    void restore(nlohmann::json const& in);

    /// Maximum number of incomplete contents. When it is exceeded, the one whose latest part
    /// is the oldest is removed.
    static constexpr std::size_t max_contents = 16;

    /// Maximum size of all parts together. Bounds the memory and the snapshots of a voter.
    static constexpr std::uint64_t max_held_bytes = 4 * max_content_bytes;

private:
    struct partial_content
    {
        /// Size of the complete content, in bytes.
        std::uint64_t total = 0;
        /// Log index of the latest part.
        std::uint64_t last_index = 0;
        /// By offset.
        std::map<std::uint64_t, std::string> parts;
    };

    std::uint64_t held_bytes() const;
    /// Removes other contents until a part of this one fits.
    void free_space_for(content_digest const& digest, std::uint64_t part_bytes);
    void remove_oldest_except(content_digest const& digest);

    std::map<content_digest, partial_content> contents;
};

} // namespace lagoonladder::version

#endif
