#ifndef LAGOONLADDER_CONTROL_CONTENT_CACHE_HPP
#define LAGOONLADDER_CONTROL_CONTENT_CACHE_HPP

#include <deque>
#include <mutex>
#include <optional>

#include <lagoonladder/version.hpp>

namespace lagoonladder::control
{

/// The newest contents that this daemon holds, for other daemons that fetch them. Safe to
/// call from any thread.
class content_cache
{
public:
    void add(version::packed_content const& content);
    std::optional<version::packed_content> find(version::content_digest const& digest) const;

    /// A fetch that has begun may end while more configurations come into force.
    static constexpr std::size_t max_contents = 8;

private:
    mutable std::mutex mutex;
    /// The newest one is last.
    std::deque<version::packed_content> contents;
};

} // namespace lagoonladder::control

#endif
