#ifndef LAGOONLADDER_COMPLETION_API_EXCHANGE_HPP
#define LAGOONLADDER_COMPLETION_API_EXCHANGE_HPP

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <lagoonladder/completion/problem.hpp>
#include <lagoonladder/completion/traffic_context.hpp>
#include <lagoonladder/http.hpp>

namespace lagoonladder::completion
{

/// One request to the HTTP interface and its response. Used on the traffic thread only.
class api_exchange : public std::enable_shared_from_this<api_exchange>
{
public:
    api_exchange(traffic_context& shared_context,
                 std::shared_ptr<http::server_exchange> http_exchange);

    std::string const& method() const { return this->exchange->head().method; }
    /// Path and query as received.
    std::string const& target() const { return this->exchange->head().target; }
    /// Path with percent-encoded characters decoded.
    std::string const& path() const { return this->decoded_path; }
    std::string const& body() const { return this->exchange->body(); }
    /// IP address of the caller.
    std::string const& caller() const { return this->exchange->remote_address(); }
    http::header_list const& headers() const { return this->exchange->head().headers; }
    /// Value of the first header field of that name; empty if there is none.
    std::string header(std::string_view name) const;
    bool has_header(std::string_view name) const { return this->headers().count(name) > 0; }
    bool has_parameter(std::string const& name) const;
    /// Value of a query parameter; empty if there is none.
    std::string parameter(std::string const& name) const;

    /// The part of the path that follows the prefix of the route.
    std::string const& argument() const { return this->route_argument; }
    void set_argument(std::string value) { this->route_argument = std::move(value); }

    /// Sets a header field of the response, also if the response is a refusal. Replaces fields of
    /// the same name.
    void set_header(std::string name, std::string value);
    /// Adds a header field of the response and keeps others of the same name.
    void add_header(std::string name, std::string value);
    void respond(unsigned status, std::string const& content_type, std::string_view content);
    void respond_json(unsigned status, std::string_view content);
    /// Logs the refusal, counts it in the metrics and sends it as the response.
    void refuse(problem const& details);

    /// Runs a step of the request handling and turns exceptions into responses: a refusal
    /// is sent as it is, other exceptions as status 500 with executed=unknown.
    void guard(std::function<void()> const& step);

    /// Starts a response of status 200 whose body is sent in parts by write().
    void begin(std::string const& content_type);
    void write(std::string_view bytes) { this->exchange->write(bytes); }
    void finish() { this->exchange->finish(); }
    /// Closes the connection, so that the caller sees that the response is incomplete.
    void abort() { this->exchange->abort(); }
    /// Number of response bytes that have not been written to the socket yet.
    std::size_t unsent_bytes() const { return this->exchange->unsent_bytes(); }
    /// Sets a handler that is called once if the connection is closed, other than by abort(),
    /// before the end of the response.
    void on_closed(std::function<void()> handler);
    /// Sets a handler that is called each time all queued bytes have been written to the socket.
    void on_drained(std::function<void()> handler);

    void run_later(duration delay, std::function<void()> action);
    std::shared_ptr<asio::io_context> const& loop() const { return this->context.loop; }

private:
    http::response_head make_head(unsigned status, std::string const& content_type) const;

    traffic_context& context;
    std::shared_ptr<http::server_exchange> const exchange;
    std::string decoded_path;
    std::multimap<std::string, std::string> parameters;
    std::string route_argument;
    http::header_list response_headers;
};

/// Token of the header "Authorization: Bearer TOKEN"; empty if there is none.
std::string bearer_token(api_exchange const& exchange);

/// Account that the caller's key belongs to. Throws refusal (401) for an unknown key.
version::account_config const& authenticate(control_view const& view, api_exchange const& exchange);

/// The current view of the control state. Throws refusal (503, with `executed`) until this
/// entry has read the control state.
std::shared_ptr<control_view const> ready_view(traffic_context& context, execution executed);

/// Value of the X-Request-Timeout header, or `fallback` if there is none. Throws refusal (400)
/// for an invalid value.
duration request_timeout(api_exchange const& exchange, duration fallback);

/// Parses the body as JSON. Throws refusal (400) for malformed JSON and refusal (415) for an
/// encoded body.
nlohmann::json parse_json_body(api_exchange const& exchange);

} // namespace lagoonladder::completion

#endif
