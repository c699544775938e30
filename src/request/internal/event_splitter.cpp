#include <lagoonladder/request/event_splitter.hpp>

#include <charconv>

namespace lagoonladder::request
{

namespace
{

/// Returns the position after the empty line that ends an event, or npos.
std::size_t find_end(std::string_view text, std::size_t from)
{
    for (auto at = text.find('\n', from); at != std::string_view::npos;
         at = text.find('\n', at + 1))
    {
        if (text.substr(at + 1, 1) == "\n")
            return at + 2;
        if (text.substr(at + 1, 2) == "\r\n")
            return at + 3;
    }
    return std::string_view::npos;
}

std::optional<std::uint64_t> find_id(std::string_view event)
{
    constexpr std::string_view name = "id:";
    std::optional<std::uint64_t> id;
    while (!event.empty())
    {
        auto const end = event.find('\n');
        auto line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (line.substr(0, name.size()) != name)
            continue;
        line.remove_prefix(name.size());
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
    for (auto end = find_end(text, from); end != std::string_view::npos;
         end = find_end(text, begin))
    {
        auto const text_of_event = text.substr(begin, end - begin);
        on_event({text_of_event, find_id(text_of_event)});
        begin = end;
    }
    this->buffered.erase(0, begin);
    this->searched = this->buffered.size();
    return this->buffered.size() <= max_event_bytes;
}

} // namespace lagoonladder::request
