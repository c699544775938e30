#ifndef LAGOONLADDER_REQUEST_EVENT_SPLITTER_HPP
#define LAGOONLADDER_REQUEST_EVENT_SPLITTER_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonladder::request
{

/// Cuts the body of a text/event-stream into whole events, so that a broken stream
/// ends between two of them and can continue with the next one.
class event_splitter
{
public:
    /// Bytes of an event that has not ended; a stream with a longer one is not valid. The buffer
    /// of an event may take twice as much, and each open stream has one.
    static constexpr std::size_t max_event_bytes = 96 * 1024;

    struct event
    {
        /// All bytes of the event, its empty line included.
        std::string_view bytes;
        /// Number in the event's "id" field.
        std::optional<std::uint64_t> id;
    };

    /// Calls `take` for each event that has ended. Returns false when an event is too long.
    bool add(std::string_view bytes, std::function<void(event const&)> const& take);

    /// Whether bytes of an event that has not ended are held.
    bool has_partial() const { return !this->held.empty(); }

private:
    std::string held;
    /// Position in `held` from which the end of the event has not been looked for.
    std::size_t searched = 0;
};

} // namespace lagoonladder::request

#endif
