#ifndef LAGOONLADDER_CONTROL_CONTENT_CACHE_HPP
#define LAGOONLADDER_CONTROL_CONTENT_CACHE_HPP

#include <deque>
#include <mutex>
#include <optional>

#include <lagoonladder/version.hpp>

namespace lagoonladder::control
{

/// Cache of the newest contents that this daemon holds, from which other daemons fetch them.
/// Thread-safe.
class content_cache
{
public:
    void add(version::packed_content const& content);
    std::optional<version::packed_content> find(version::content_digest const& digest) const;

    /// Large enough that a fetch in progress can finish while newer configurations come into force.
    static constexpr std::size_t max_contents = 8;

private:
    mutable std::mutex mutex;
    /// Newest content last.
    std::deque<version::packed_content> contents;
};

} // namespace lagoonladder::control

#endif
