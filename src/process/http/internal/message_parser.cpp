#include "message_parser.hpp"

#include <algorithm>
#include <limits>

#include <boost/beast/http/basic_parser.hpp>

namespace lagoonladder::http
{

namespace beast = boost::beast;

namespace
{

constexpr std::uint32_t max_response_head_bytes = 64 * 1024;
/// The number of fields is limited as well, since short fields take up many times their size in
/// memory.
constexpr std::ptrdiff_t max_response_fields = 256;
/// Maximum size of the trailer and of a chunk's size line with its extensions. The system
/// uses neither trailers nor extensions.
constexpr std::size_t max_chunk_line_bytes = 8 * 1024;

std::string to_string(beast::string_view text)
{
    return {text.data(), text.size()};
}

parse_problem to_problem(beast::error_code const& code)
{
    parse_problem problem;
    problem.reason = code.message();
    if (code == beast::http::error::header_limit)
        problem.status = 431;
    if (code == beast::http::error::body_limit)
        problem.status = 413;
    return problem;
}

/// Limits the length of chunk size lines and trailers, for which Beast's parser has no limit. The
/// parser leaves such a line unconsumed until it is complete: `unparsed_bytes` is its size so far.
template <class Parser>
std::optional<parse_problem> check_line_length(Parser const& parser, std::size_t unparsed_bytes)
{
    if (!parser.is_header_done() || parser.is_done() || unparsed_bytes <= max_chunk_line_bytes)
        return std::nullopt;
    return parse_problem{400, "the size line of a chunk or the trailer exceeds " +
                                  std::to_string(max_chunk_line_bytes) + " bytes"};
}

/// Feeds a parser until the end of the message or of the data. Returns the number of bytes used.
template <class Parser>
std::size_t feed(Parser& parser, std::string_view data, std::optional<parse_problem>& problem)
{
    std::size_t consumed = 0;
    while (consumed < data.size() && !parser.is_done())
    {
        beast::error_code code;
        auto const rest = boost::asio::const_buffer(data.data() + consumed, data.size() - consumed);
        auto const used = parser.put(rest, code);
        consumed += used;
        if (code == beast::http::error::need_more)
            break;
        if (code)
        {
            problem = to_problem(code);
            break;
        }
        if (used == 0)
            break;
    }
    if (!problem)
        problem = check_line_length(parser, data.size() - consumed);
    return consumed;
}

} // namespace

namespace
{

/// Passes body bytes to handle_body(), whether or not the body is chunked.
template <bool is_request>
class body_parser : public beast::http::basic_parser<is_request>
{
protected:
    virtual void handle_body(beast::string_view bytes) = 0;

    void on_request_impl(beast::http::verb, beast::string_view, beast::string_view, int,
                         beast::error_code&) override
    {
    }
    void on_response_impl(int, beast::string_view, int, beast::error_code&) override {}
    void on_header_impl(beast::error_code&) override {}
    void on_body_init_impl(boost::optional<std::uint64_t> const&, beast::error_code&) override {}
    void on_chunk_header_impl(std::uint64_t, beast::string_view, beast::error_code&) override {}
    void on_finish_impl(beast::error_code&) override {}

    std::size_t on_body_impl(beast::string_view bytes, beast::error_code&) override
    {
        this->handle_body(bytes);
        return bytes.size();
    }

    std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view bytes,
                                   beast::error_code&) override
    {
        this->handle_body(bytes);
        return bytes.size();
    }
};

} // namespace

class request_parser::implementation : public body_parser<true>
{
public:
    request_head head;
    std::string body;
    /// Size of the target and of all fields.
    std::size_t head_text_bytes = 0;
    bool expects_continue = false;

protected:
    void on_request_impl(beast::http::verb, beast::string_view method, beast::string_view target,
                         int, beast::error_code&) override
    {
        this->head.method = to_string(method);
        this->head.target = to_string(target);
        this->head_text_bytes = target.size();
    }

    void on_field_impl(beast::http::field field, beast::string_view field_name,
                       beast::string_view value, beast::error_code& code) override
    {
        // Trailer fields arrive after the head was passed on; they do not belong to it.
        if (this->is_header_done())
            return;
        // Any coding other than chunked makes the length of the body ambiguous, which allows
        // request smuggling.
        if (field == beast::http::field::transfer_encoding && !beast::iequals(value, "chunked"))
            code = beast::http::error::bad_transfer_encoding;
        if (field == beast::http::field::expect && beast::iequals(value, "100-continue"))
            this->expects_continue = true;
        this->head_text_bytes += field_name.size() + value.size();
        this->head.headers.add(to_string(field_name), to_string(value));
    }

    void handle_body(beast::string_view bytes) override
    {
        this->body.append(bytes.data(), bytes.size());
    }
};

request_parser::request_parser(connection_limits const& limits)
    : state(std::make_unique<implementation>())
{
    this->state->eager(true);
    this->state->header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
    this->state->body_limit(limits.max_body_bytes);
}

request_parser::~request_parser() = default;

std::size_t request_parser::put(std::string_view data, std::optional<parse_problem>& problem)
{
    return feed(*this->state, data, problem);
}

bool request_parser::has_head() const
{
    return this->state->is_header_done();
}

bool request_parser::is_done() const
{
    return this->state->is_done();
}

bool request_parser::keeps_alive() const
{
    return this->state->keep_alive();
}

bool request_parser::expects_continue() const
{
    return this->state->expects_continue;
}

request_head& request_parser::head()
{
    return this->state->head;
}

std::string& request_parser::body()
{
    return this->state->body;
}

std::optional<std::uint64_t> request_parser::content_length() const
{
    auto const length = this->state->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

std::size_t request_parser::head_memory() const
{
    return this->state->head_text_bytes +
           this->state->head.headers.fields().capacity() * sizeof(header_field);
}

class response_parser::implementation : public body_parser<false>
{
public:
    std::function<void(response_head const&)> on_head;
    std::function<void(std::string_view)> on_body;
    response_head head;
    std::ptrdiff_t field_count = 0;

    /// Limits the lines of a head that is not complete: once Beast's parser waits for the end of a
    /// head, it neither consumes further lines nor calls handlers for them. `is_continued` states
    /// that `unparsed` begins with the bytes of the call before.
    std::optional<parse_problem> check_line_count(std::string_view unparsed, bool is_continued)
    {
        if (this->is_header_done())
            return std::nullopt;
        if (!is_continued)
        {
            this->counted_bytes = 0;
            this->line_count = 0;
        }
        auto const new_bytes = unparsed.substr(this->counted_bytes);
        this->line_count += std::count(new_bytes.begin(), new_bytes.end(), '\n');
        this->counted_bytes = unparsed.size();
        // The status line is counted as well.
        if (this->line_count <= max_response_fields + 1)
            return std::nullopt;
        return parse_problem{502, "the head of the response exceeds " +
                                      std::to_string(max_response_fields) + " fields"};
    }

protected:
    void on_response_impl(int status, beast::string_view reason, int, beast::error_code&) override
    {
        this->head.status = static_cast<unsigned>(status);
        this->head.reason = to_string(reason);
    }

    void on_field_impl(beast::http::field, beast::string_view field_name, beast::string_view value,
                       beast::error_code& code) override
    {
        // Trailer fields arrive after the head was passed on.
        if (this->is_header_done())
            return;
        if (++this->field_count > max_response_fields)
            code = beast::http::error::header_limit;
        this->head.headers.add(to_string(field_name), to_string(value));
    }

    void on_header_impl(beast::error_code&) override { this->on_head(this->head); }

    void handle_body(beast::string_view bytes) override
    {
        this->on_body({bytes.data(), bytes.size()});
    }

private:
    /// Bytes of the unparsed head whose line ends have been counted.
    std::size_t counted_bytes = 0;
    std::ptrdiff_t line_count = 0;
};

response_parser::response_parser(std::function<void(response_head const&)> on_head,
                                 std::function<void(std::string_view)> on_body, bool without_body)
    : state(std::make_unique<implementation>())
{
    this->state->on_head = std::move(on_head);
    this->state->on_body = std::move(on_body);
    this->state->eager(true);
    this->state->skip(without_body);
    this->state->header_limit(max_response_head_bytes);
    // Boost 1.74 treats "no limit" as a limit that every Content-Length exceeds.
    this->state->body_limit(std::numeric_limits<std::uint64_t>::max());
}

response_parser::~response_parser() = default;

std::size_t response_parser::put(std::string_view data, std::optional<parse_problem>& problem)
{
    auto const consumed = feed(*this->state, data, problem);
    if (!problem)
        problem = this->state->check_line_count(data.substr(consumed), consumed == 0);
    return consumed;
}

void response_parser::put_end(std::optional<parse_problem>& problem)
{
    beast::error_code code;
    this->state->put_eof(code);
    if (code)
        problem = to_problem(code);
    else if (!this->state->is_done())
        problem = parse_problem{502, "the connection ended before the end of the response"};
}

bool response_parser::has_started() const
{
    return this->state->got_some();
}

bool response_parser::has_head() const
{
    return this->state->is_header_done();
}

bool response_parser::is_done() const
{
    return this->state->is_done();
}

bool response_parser::keeps_alive() const
{
    return this->state->keep_alive();
}

bool response_parser::ends_with_connection() const
{
    return this->state->need_eof();
}

} // namespace lagoonladder::http
