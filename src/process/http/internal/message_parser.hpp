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

/// Why a message cannot be read.
struct parse_problem
{
    /// Status that a server answers with.
    unsigned status = 400;
    std::string reason;
};

/// Reads one request, incrementally.
class request_parser
{
public:
    explicit request_parser(connection_limits const& limits);
    ~request_parser();

    /// Takes bytes from the front of `data` and returns how many; stops at the end of the
    /// message. The head is taken only when it is there as a whole.
    std::size_t put(std::string_view data, std::optional<parse_problem>& problem);

    bool has_head() const;
    bool is_done() const;
    bool keeps_alive() const;
    /// Whether the caller waits for an interim answer before it sends the body.
    bool expects_continue() const;
    request_head& head();
    std::string& body();

private:
    class implementation;
    std::unique_ptr<implementation> state;
};

/// Reads one response, incrementally; the body is handed on as it comes.
class response_parser
{
public:
    /// `without_body`: the response to a HEAD request ends with its head.
    response_parser(std::function<void(response_head const&)> on_head,
                    std::function<void(std::string_view)> on_body, bool without_body = false);
    ~response_parser();

    std::size_t put(std::string_view data, std::optional<parse_problem>& problem);
    /// The connection ended; completes a response without a length.
    void put_end(std::optional<parse_problem>& problem);

    bool has_started() const;
    bool has_head() const;
    bool is_done() const;
    bool keeps_alive() const;
    /// The response states neither a length nor chunks and ends with its connection.
    bool ends_with_connection() const;

private:
    class implementation;
    std::unique_ptr<implementation> state;
};

} // namespace lagoonladder::http

#endif
