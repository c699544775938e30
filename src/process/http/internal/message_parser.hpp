#ifndef LAGOONLADDER_HTTP_MESSAGE_PARSER_HPP
#define LAGOONLADDER_HTTP_MESSAGE_PARSER_HPP

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <lagoonladder/http/message.hpp>
#include <lagoonladder/http/server.hpp>

namespace lagoonladder::http
{

/// Reason why a message cannot be parsed.
struct parse_problem
{
    /// Status code of the response that a server sends.
    unsigned status = 400;
    std::string reason;
};

/// Incremental parser of one request.
class request_parser
{
public:
    explicit request_parser(connection_limits const& limits);
    ~request_parser();

    /// Consumes bytes from the front of `data`, up to the end of the message, and returns their
    /// number. The head is consumed only when it is complete. Sets `problem` on malformed input.
    std::size_t put(std::string_view data, std::optional<parse_problem>& problem);

    bool has_head() const;
    bool is_done() const;
    bool keeps_alive() const;
    /// Whether the caller waits for 100 Continue before it sends the body.
    bool expects_continue() const;
    request_head& head();
    std::string& body();
    /// Length of the body that the head states. No value for a chunked body.
    std::optional<std::uint64_t> content_length() const;
    /// Estimated memory that the head takes up in bytes.
    std::size_t head_memory() const;

private:
    class implementation;
    std::unique_ptr<implementation> state;
};

/// Incremental parser of one response. Passes on the body as it arrives.
class response_parser
{
public:
    /// `without_body`: the response ends with its head, as for a HEAD request.
    response_parser(std::function<void(response_head const&)> on_head,
                    std::function<void(std::string_view)> on_body, bool without_body = false);
    ~response_parser();

    /// As request_parser::put().
    std::size_t put(std::string_view data, std::optional<parse_problem>& problem);
    /// Marks the end of the connection, which completes a response without a length and is a
    /// problem for any other incomplete response.
    void put_end(std::optional<parse_problem>& problem);

    bool has_started() const;
    bool has_head() const;
    bool is_done() const;
    bool keeps_alive() const;
    /// Whether the end of the connection ends the response, since it is neither chunked nor has a
    /// length.
    bool ends_with_connection() const;

private:
    class implementation;
    std::unique_ptr<implementation> state;
};

} // namespace lagoonladder::http

#endif
