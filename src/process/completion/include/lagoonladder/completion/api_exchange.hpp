#ifndef LAGOONLADDER_COMPLETION_API_EXCHANGE_HPP
#define LAGOONLADDER_COMPLETION_API_EXCHANGE_HPP

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <lagoonladder/completion/traffic_context.hpp>
#include <lagoonladder/completion/traffic_problem.hpp>
#include <lagoonladder/http.hpp>

namespace lagoonladder::completion
{

/// One request to the HTTP interface and its answer. Used on the traffic thread.
class api_exchange : public std::enable_shared_from_this<api_exchange>
{
public:
    api_exchange(traffic_context& shared, std::shared_ptr<http::server_exchange> received);

    std::string const& method() const { return this->exchange->head().method; }
    /// Path and query as they came.
    std::string const& target() const { return this->exchange->head().target; }
    /// Path without escapes.
    std::string const& path() const { return this->decoded_path; }
    std::string const& body() const { return this->exchange->body(); }
    std::string const& caller() const { return this->exchange->remote_address(); }
    http::header_list const& headers() const { return this->exchange->head().headers; }
    /// Value of the first field of that name; empty when there is none.
    std::string header(std::string_view name) const;
    bool has_header(std::string_view name) const { return this->headers().count(name) > 0; }
    bool has_parameter(std::string const& name) const;
    /// Value of a parameter of the query; empty when there is none.
    std::string parameter(std::string const& name) const;

    /// Part of the path that the route leaves open.
    std::string const& argument() const { return this->route_argument; }
    void set_argument(std::string value) { this->route_argument = std::move(value); }

    /// Sets a field of the answer, refusals included.
    void set_header(std::string name, std::string value);
    void add_header(std::string name, std::string value);
    void respond(unsigned status, std::string const& content_type, std::string_view content);
    void respond_json(unsigned status, std::string_view content);
    /// Logs and counts the refusal and answers with it.
    void refuse(problem const& refused);

    /// Runs a step of the handling; what it throws becomes the answer: a refusal as it
    /// says, other exceptions as status 500 with executed=unknown.
    void guard(std::function<void()> const& step);

    /// An answer in parts.
    void begin(std::string const& content_type);
    void write(std::string_view bytes) { this->exchange->write(bytes); }
    void finish() { this->exchange->finish(); }
    /// Ends the connection, so that the answer is visibly incomplete.
    void abort() { this->exchange->abort(); }
    std::size_t unsent_bytes() const { return this->exchange->unsent_bytes(); }
    void on_closed(std::function<void()> handler);
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
    http::header_list answer_headers;
};

/// Token of "Authorization: Bearer TOKEN"; empty when there is none.
std::string bearer_token(api_exchange const& exchange);

/// Account of the caller's key. Throws refusal (401).
version::account_config const& authenticate(control_view const& view, api_exchange const& exchange);

/// The current view. Throws refusal (503, `executed`) before it is ready.
std::shared_ptr<control_view const> ready_view(traffic_context& context, execution executed);

/// Value of X-Request-Timeout, or the fallback. Throws refusal (400).
duration request_timeout(api_exchange const& exchange, duration fallback);

/// Parses a JSON body. Throws refusal (400).
nlohmann::json parse_json_body(api_exchange const& exchange);

} // namespace lagoonladder::completion

#endif
