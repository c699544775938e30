#ifndef LAGOONLADDER_COMPLETION_EVENT_STREAM_PARSER_HPP
#define LAGOONLADDER_COMPLETION_EVENT_STREAM_PARSER_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonladder::completion
{

/// Splits a stream of server-sent events into the data of each event. Comments
/// and other fields are skipped.
class event_stream_parser
{
public:
    /// Longest event in bytes.
    static constexpr std::size_t max_event = 1024 * 1024;

    using handler = std::function<bool(std::string_view data)>;

    /// Calls the handler for each event that is complete. False when the handler
    /// returned false or an event is too long.
    bool feed(std::string_view bytes, handler const& on_event);

private:
    bool take_line(std::string_view line, handler const& on_event);

    std::string partial;
    std::string data;
    bool has_data = false;
};

/// What the entry needs to know of one event of a model engine.
struct engine_event
{
    /// Whether the event carries generated text.
    bool is_token = false;
    /// Offset of the token, if the event states one.
    std::optional<std::uint64_t> offset;
    /// Empty while the answer goes on.
    std::string finish_reason;
    bool is_end = false;
    bool is_error = false;
};

/// Reads the fields by a search for their keys instead of a JSON parse. A key cannot
/// be found inside a JSON string, because the quotes are escaped there.
engine_event read_engine_event(std::string_view data);

} // namespace lagoonladder::completion

#endif
