#ifndef LAGOONLADDER_HTTP_MESSAGE_HPP
#define LAGOONLADDER_HTTP_MESSAGE_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <lagoonladder/base.hpp>

namespace lagoonladder::http
{

/// Errors of the HTTP layer, such as an address that cannot be listened on.
class http_error : public error
{
public:
    using error::error;
};

struct header_field
{
    std::string name;
    std::string value;
};

/// Header fields in the order in which they appear in the message. Field names are
/// case-insensitive.
class header_list
{
public:
    /// Returns the value of the first field with that name, or nullptr.
    std::string const* find(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    void add(std::string name, std::string value);
    /// Replaces all fields with that name by one.
    void set(std::string name, std::string value);
    void remove(std::string_view name);

    std::vector<header_field> const& fields() const { return this->list; }

private:
    std::vector<header_field> list;
};

/// Compares two field names without regard to case.
bool equal_names(std::string_view left, std::string_view right);

/// Removes the hop-by-hop fields, including those that are listed in Connection.
void remove_connection_fields(header_list& headers);

struct request_head
{
    std::string method;
    /// Request target: path and query.
    std::string target;
    header_list headers;
};

struct response_head
{
    unsigned status = 0;
    std::string reason;
    header_list headers;
};

/// Returns the reason phrase of a status code: the standard one for common codes, otherwise a
/// generic one.
char const* reason_phrase(unsigned status);

/// Encodes a request. Adds Content-Length if there is a body or the method is POST, PUT or PATCH.
std::string format_request(request_head const& head, std::string_view body);

/// Encodes a request without its body, whose bytes are sent after the result.
std::string format_request_head(request_head const& head, std::size_t body_bytes);

/// Encodes the head of a response, including the empty line that ends it.
std::string format_head(response_head const& head);

/// Appends `bytes` as one chunk of a chunked body. Does nothing if `bytes` is empty.
void append_chunk(std::string& out, std::string_view bytes);
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

/// Parses a decimal number. No value if the text has a sign, white space or other characters.
std::optional<std::uint64_t> parse_number(std::string_view text);

} // namespace lagoonladder::http

#endif
