#ifndef LAGOONLADDER_REQUEST_EVENT_SPLITTER_HPP
#define LAGOONLADDER_REQUEST_EVENT_SPLITTER_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonladder::request
{

/// Splits the body of a text/event-stream response into complete events, so that a broken stream
/// ends between two events and can be resumed with the next one.
class event_splitter
{
public:
    /// Maximum size of an incomplete event; a stream with a longer event is invalid. The buffer of
    /// an event can grow to twice this size, and each open stream has one.
    static constexpr std::size_t max_event_bytes = 96 * 1024;

    struct event
    {
        /// All bytes of the event, including the empty line at its end.
        std::string_view bytes;
        /// Number in the "id" field of the event.
        std::optional<std::uint64_t> id;
    };

    /// Calls `on_event` for each event that is complete. Returns false when an event is too long.
    bool add(std::string_view bytes, std::function<void(event const&)> const& on_event);

    /// Whether the bytes of an incomplete event are buffered.
    bool has_partial() const { return !this->buffered.empty(); }

private:
    std::string buffered;
    /// Position in `buffered` up to which the end of the event has been searched for.
    std::size_t searched = 0;
};

} // namespace lagoonladder::request

#endif
