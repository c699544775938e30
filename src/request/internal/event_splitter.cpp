#include <lagoonladder/request/event_splitter.hpp>

#include <charconv>

namespace lagoonladder::request
{

namespace
{

/// Returns the position after the empty line that ends an event, or npos.
std::size_t find_event_end(std::string_view text, std::size_t from)
{
    for (auto newline = text.find('\n', from); newline != std::string_view::npos;
         newline = text.find('\n', newline + 1))
    {
        if (text.substr(newline + 1, 1) == "\n")
            return newline + 2;
        if (text.substr(newline + 1, 2) == "\r\n")
            return newline + 3;
    }
    return std::string_view::npos;
}

/// Returns the number in the last "id" field that holds one.
std::optional<std::uint64_t> find_id(std::string_view event)
{
    constexpr std::string_view id_field = "id:";
    std::optional<std::uint64_t> id;
    while (!event.empty())
    {
        auto const end = event.find('\n');
        auto line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (line.substr(0, id_field.size()) != id_field)
            continue;
        line.remove_prefix(id_field.size());
        if (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        std::uint64_t value = 0;
        auto const result = std::from_chars(line.data(), line.data() + line.size(), value);
        if (result.ec == std::errc())
            id = value;
    }
    return id;
}

} // namespace

bool event_splitter::add(std::string_view bytes, std::function<void(event const&)> const& on_event)
{
    this->buffered += bytes;
    std::size_t begin = 0;
    // The empty line may begin in the bytes that were already buffered.
    constexpr std::size_t max_terminator_bytes = 3;
    auto from = this->searched < max_terminator_bytes ? 0 : this->searched - max_terminator_bytes;
    std::string_view const text = this->buffered;
    for (auto end = find_event_end(text, from); end != std::string_view::npos;
         end = find_event_end(text, begin))
    {
        auto const event_bytes = text.substr(begin, end - begin);
        on_event({event_bytes, find_id(event_bytes)});
        begin = end;
    }
    this->buffered.erase(0, begin);
    this->searched = this->buffered.size();
    return this->buffered.size() <= max_event_bytes;
}

} // namespace lagoonladder::request
