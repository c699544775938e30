#include <event_stream_parser.hpp>

#include <charconv>

namespace lagoonladder::completion
{

namespace
{

/// Text from the value of the key on, without leading blanks; empty if the key does not occur.
std::string_view find_value(std::string_view data, std::string_view quoted_key)
{
    std::size_t position = 0;
    while ((position = data.find(quoted_key, position)) != std::string_view::npos)
    {
        position += quoted_key.size();
        auto const colon = data.find_first_not_of(" \t", position);
        if (colon == std::string_view::npos || data[colon] != ':')
            continue;
        auto const value = data.find_first_not_of(" \t", colon + 1);
        return value == std::string_view::npos ? std::string_view() : data.substr(value);
    }
    return {};
}

/// Whether the key has a non-empty string as its value. Values of other types under the same
/// key, such as the list "content" of log probabilities, are skipped.
bool has_text(std::string_view data, std::string_view quoted_key)
{
    while (true)
    {
        auto const value = find_value(data, quoted_key);
        if (value.size() > 1 && value[0] == '"')
            return value[1] != '"';
        if (value.empty())
            return false;
        data = value;
    }
}

std::string read_string(std::string_view value)
{
    if (value.empty() || value[0] != '"')
        return {};
    auto const end = value.find('"', 1);
    return end == std::string_view::npos ? std::string() : std::string(value.substr(1, end - 1));
}

} // namespace

bool event_stream_parser::feed(std::string_view bytes, handler const& on_event)
{
    while (!bytes.empty())
    {
        auto const end = bytes.find('\n');
        if (end == std::string_view::npos)
        {
            this->partial.append(bytes);
            return this->partial.size() + this->data.size() <= max_event_bytes;
        }
        auto line = bytes.substr(0, end);
        bytes.remove_prefix(end + 1);
        std::string full_line;
        if (!this->partial.empty())
        {
            full_line = std::move(this->partial);
            this->partial.clear();
            full_line.append(line);
            line = full_line;
        }
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (!this->parse_line(line, on_event))
            return false;
    }
    return true;
}

bool event_stream_parser::parse_line(std::string_view line, handler const& on_event)
{
    if (line.empty())
    {
        if (!this->has_data)
            return true;
        auto const event = std::move(this->data);
        this->data.clear();
        this->has_data = false;
        return on_event(event);
    }
    static constexpr std::string_view field = "data:";
    if (line.substr(0, field.size()) != field)
        return true;
    line.remove_prefix(field.size());
    if (!line.empty() && line.front() == ' ')
        line.remove_prefix(1);
    if (this->has_data)
        this->data += '\n';
    this->data.append(line);
    this->has_data = true;
    return this->data.size() <= max_event_bytes;
}

engine_event read_engine_event(std::string_view data)
{
    engine_event event;
    if (data == "[DONE]")
    {
        event.is_end = true;
        return event;
    }
    event.is_token = has_text(data, "\"content\"") || has_text(data, "\"text\"") ||
                     !find_value(data, "\"tool_calls\"").empty();
    event.finish_reason = read_string(find_value(data, "\"finish_reason\""));
    auto const offset = find_value(data, "\"offset\"");
    std::uint64_t number = 0;
    if (std::from_chars(offset.data(), offset.data() + offset.size(), number).ec == std::errc())
        event.offset = number;
    event.is_error = !event.is_token && !find_value(data, "\"error\"").empty();
    return event;
}

} // namespace lagoonladder::completion
