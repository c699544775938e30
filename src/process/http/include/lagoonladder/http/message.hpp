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

/// Header fields in the order of the message. Names are compared without case.
class header_list
{
public:
    /// Value of the first field of that name, or nullptr.
    std::string const* find(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    void add(std::string name, std::string value);
    /// Replaces all fields of that name.
    void set(std::string name, std::string value);
    void remove(std::string_view name);

    std::vector<header_field> const& fields() const { return this->list; }

private:
    std::vector<header_field> list;
};

bool equal_names(std::string_view left, std::string_view right);

/// Removes the fields that concern one connection only, those that Connection names included.
void remove_connection_fields(header_list& headers);

struct request_head
{
    std::string method;
    /// Path and query.
    std::string target;
    header_list headers;
};

struct response_head
{
    unsigned status = 0;
    std::string reason;
    header_list headers;
};

/// The usual reason phrase of a status.
char const* reason_phrase(unsigned status);

/// Bytes of a request with a complete body; sets Content-Length where the method or the body
/// asks for it.
std::string format_request(request_head const& head, std::string_view body);

/// Bytes of the head of a response with an empty line behind it.
std::string format_head(response_head const& head);

/// One chunk of a chunked body.
void append_chunk(std::string& out, std::string_view bytes);
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

/// A whole decimal number without sign or space; no value otherwise.
std::optional<std::uint64_t> parse_number(std::string_view text);

} // namespace lagoonladder::http

#endif
