#include <lagoonladder/http/message.hpp>

#include <algorithm>
#include <charconv>

namespace lagoonladder::http
{

namespace
{

char to_lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

void append_fields(std::string& out, header_list const& headers)
{
    for (auto const& field : headers.fields())
    {
        out += field.name;
        out += ": ";
        out += field.value;
        out += "\r\n";
    }
    out += "\r\n";
}

std::string_view trimmed(std::string_view text)
{
    auto const first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

} // namespace

bool equal_names(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return to_lower(a) == to_lower(b); });
}

std::string const* header_list::find(std::string_view name) const
{
    for (auto const& field : this->list)
    {
        if (equal_names(field.name, name))
            return &field.value;
    }
    return nullptr;
}

std::size_t header_list::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(this->list.begin(), this->list.end(),
                                                  [&](auto const& field)
                                                  { return equal_names(field.name, name); }));
}

void header_list::add(std::string name, std::string value)
{
    this->list.push_back({std::move(name), std::move(value)});
}

void header_list::set(std::string name, std::string value)
{
    this->remove(name);
    this->add(std::move(name), std::move(value));
}

void header_list::remove(std::string_view name)
{
    std::erase_if(this->list, [&](auto const& field) { return equal_names(field.name, name); });
}

void remove_connection_fields(header_list& headers)
{
    std::vector<std::string> listed_names;
    for (auto const& field : headers.fields())
    {
        if (!equal_names(field.name, "Connection"))
            continue;
        std::string_view rest = field.value;
        while (!rest.empty())
        {
            auto const comma = std::min(rest.find(','), rest.size());
            listed_names.emplace_back(trimmed(rest.substr(0, comma)));
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    for (auto const& name : listed_names)
        headers.remove(name);
    // Content-Length and Expect apply to one connection too: each connection frames its body
    // itself, and the server connection answers Expect with 100 Continue itself.
    for (auto const* name : {"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
                             "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
                             "Content-Length", "Expect"})
        headers.remove(name);
}

char const* reason_phrase(unsigned status)
{
    switch (status)
    {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 403:
        return "Forbidden";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 413:
        return "Payload Too Large";
    case 414:
        return "URI Too Long";
    case 415:
        return "Unsupported Media Type";
    case 422:
        return "Unprocessable Entity";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 501:
        return "Not Implemented";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return status >= 400 && status < 500 ? "Request Refused" : "Internal Server Error";
    }
}

std::string format_request(request_head const& head, std::string_view body)
{
    auto out = format_request_head(head, body.size());
    out += body;
    return out;
}

std::string format_request_head(request_head const& head, std::size_t body_bytes)
{
    std::string out = head.method + " " + head.target + " HTTP/1.1\r\n";
    bool const has_content_length =
        body_bytes > 0 || head.method == "POST" || head.method == "PUT" || head.method == "PATCH";
    if (has_content_length)
        out += "Content-Length: " + std::to_string(body_bytes) + "\r\n";
    append_fields(out, head.headers);
    return out;
}

std::string format_head(response_head const& head)
{
    std::string out = "HTTP/1.1 " + std::to_string(head.status) + " " +
                      (head.reason.empty() ? reason_phrase(head.status) : head.reason) + "\r\n";
    append_fields(out, head.headers);
    return out;
}

void append_chunk(std::string& out, std::string_view bytes)
{
    // An empty chunk would end the body.
    if (bytes.empty())
        return;
    std::array<char, 16> size{};
    auto const end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
    out.append(size.data(), end);
    out += "\r\n";
    out += bytes;
    out += "\r\n";
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    auto const* const end = text.data() + text.size();
    auto const [stop, problem] = std::from_chars(text.data(), end, value);
    if (text.empty() || problem != std::errc() || stop != end)
        return std::nullopt;
    return value;
}

} // namespace lagoonladder::http
