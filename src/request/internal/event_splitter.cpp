#include <lagoonladder/request/event_splitter.hpp>

#include <charconv>

namespace lagoonladder::request
{

namespace
{

/// Position behind the empty line that ends an event, or npos.
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

bool event_splitter::add(std::string_view bytes, std::function<void(event const&)> const& take)
{
    this->held += bytes;
    std::size_t begin = 0;
    // The end may span the bytes that were held and the new ones.
    constexpr std::size_t longest_end = 3;
    auto from = this->searched < longest_end ? 0 : this->searched - longest_end;
    std::string_view const text = this->held;
    for (auto end = find_end(text, from); end != std::string_view::npos;
         end = find_end(text, begin))
    {
        auto const whole = text.substr(begin, end - begin);
        take({whole, find_id(whole)});
        begin = end;
    }
    this->held.erase(0, begin);
    this->searched = this->held.size();
    return this->held.size() <= max_event_bytes;
}

} // namespace lagoonladder::request
