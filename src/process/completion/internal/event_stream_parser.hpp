#ifndef LAGOONLADDER_COMPLETION_EVENT_STREAM_PARSER_HPP
#define LAGOONLADDER_COMPLETION_EVENT_STREAM_PARSER_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonladder::completion
{

/// Splits a stream of server-sent events into the data of its events. Comments and other
/// fields are skipped.
class event_stream_parser
{
public:
    /// Maximum size of an event in bytes.
    static constexpr std::size_t max_event_bytes = 1024 * 1024;

    using handler = std::function<bool(std::string_view data)>;

    /// Calls the handler for each complete event. Returns false if the handler returns false
    /// or an event is too large.
    bool feed(std::string_view bytes, handler const& on_event);

private:
    bool parse_line(std::string_view line, handler const& on_event);

    std::string partial;
    std::string data;
    bool has_data = false;
};

/// The fields of a model engine's event that the entry uses.
struct engine_event
{
    /// Whether the event carries generated text or a tool call.
    bool is_token = false;
    /// Offset of the token, if the event contains one.
    std::optional<std::uint64_t> offset;
    /// Empty until the answer is finished.
    std::string finish_reason;
    /// Whether the event is the end marker "[DONE]".
    bool is_end = false;
    bool is_error = false;
};

/// Finds the fields by a search for their quoted keys, without parsing the JSON text. A quoted
/// key cannot occur inside a JSON string, because quotes are escaped there.
engine_event read_engine_event(std::string_view data);

} // namespace lagoonladder::completion

#endif
