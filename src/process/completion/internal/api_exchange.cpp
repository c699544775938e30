#include <lagoonladder/completion/api_exchange.hpp>

#include <charconv>

#include <httplib.h>

namespace lagoonladder::completion
{

namespace
{

// Limits of X-Request-Timeout, in seconds.
constexpr double min_timeout = 0.001;
constexpr double max_timeout = 24 * 3600;

constexpr char const* problem_type = "application/problem+json";

problem internal_problem(std::string const& detail)
{
    problem response;
    response.status = 500;
    response.type = "internal";
    response.detail = detail;
    response.executed = execution::unknown;
    return response;
}

} // namespace

api_exchange::api_exchange(traffic_context& shared_context,
                           std::shared_ptr<http::server_exchange> http_exchange)
    : context(shared_context)
    , exchange(std::move(http_exchange))
{
    auto const& full_target = this->target();
    auto const query = full_target.find('?');
    this->decoded_path = httplib::detail::decode_url(full_target.substr(0, query), false);
    if (query != std::string::npos)
        httplib::detail::parse_query_text(full_target.substr(query + 1), this->parameters);
}

std::string api_exchange::header(std::string_view name) const
{
    auto const* value = this->headers().find(name);
    return value == nullptr ? std::string() : *value;
}

bool api_exchange::has_parameter(std::string const& name) const
{
    return this->parameters.count(name) > 0;
}

std::string api_exchange::parameter(std::string const& name) const
{
    auto const found = this->parameters.find(name);
    return found == this->parameters.end() ? std::string() : found->second;
}

void api_exchange::set_header(std::string name, std::string value)
{
    this->response_headers.set(std::move(name), std::move(value));
}

void api_exchange::add_header(std::string name, std::string value)
{
    this->response_headers.add(std::move(name), std::move(value));
}

http::response_head api_exchange::make_head(unsigned status, std::string const& content_type) const
{
    http::response_head head{status, {}, this->response_headers};
    if (!content_type.empty())
        head.headers.set("Content-Type", content_type);
    return head;
}

void api_exchange::respond(unsigned status, std::string const& content_type,
                           std::string_view content)
{
    this->exchange->respond(this->make_head(status, content_type), content);
}

void api_exchange::respond_json(unsigned status, std::string_view content)
{
    this->respond(status, "application/json", content);
}

void api_exchange::refuse(problem const& details)
{
    this->set_header("Retry-After", format_retry_after(details.retry_after));
    if (!details.request_id.empty())
        this->set_header("X-Request-Id", details.request_id);
    if (!details.location.empty())
        this->set_header("Location", details.location);
    this->context.metrics.add("refused_requests_total", {{"type", details.type}});
    this->context.events.emit(severity::warning, "request.refused",
                              {{"method", this->method()},
                               {"path", this->path()},
                               {"caller", this->caller()},
                               {"status", std::to_string(details.status)},
                               {"type", details.type},
                               {"executed", to_string(details.executed)},
                               {"request_id", details.request_id},
                               {"detail", details.detail}});
    this->respond(static_cast<unsigned>(details.status), problem_type, format_problem(details));
}

void api_exchange::guard(std::function<void()> const& step)
{
    try
    {
        step();
    }
    catch (refusal const& exception)
    {
        this->refuse(exception.details);
    }
    catch (std::exception const& exception)
    {
        this->refuse(internal_problem(exception.what()));
    }
}

void api_exchange::begin(std::string const& content_type)
{
    this->exchange->begin(this->make_head(200, content_type), std::nullopt);
}

void api_exchange::on_closed(std::function<void()> handler)
{
    this->exchange->on_closed(std::move(handler));
}

void api_exchange::on_drained(std::function<void()> handler)
{
    this->exchange->on_drained(std::move(handler));
}

void api_exchange::run_later(duration delay, std::function<void()> action)
{
    completion::run_later(*this->context.loop, delay, std::move(action));
}

std::string bearer_token(api_exchange const& exchange)
{
    static std::string const scheme = "Bearer ";
    auto const header = exchange.header("Authorization");
    return header.compare(0, scheme.size(), scheme) == 0 ? header.substr(scheme.size()) : "";
}

version::account_config const& authenticate(control_view const& view, api_exchange const& exchange)
{
    auto const key = bearer_token(exchange);
    auto const* account =
        key.empty() ? nullptr
                    : view.shared->configuration.find_account_by_key_hash(version::sha256_hex(key));
    if (!account)
        throw refusal({401, "unauthorized", "the account key is missing or not known"});
    return *account;
}

std::shared_ptr<control_view const> ready_view(traffic_context& context, execution executed)
{
    auto view = context.control.view();
    if (!view || !view->ready || !view->shared)
        throw refusal(
            {503, "not-ready", "this entry has not read the control state yet", executed});
    return view;
}

duration request_timeout(api_exchange const& exchange, duration fallback)
{
    auto const text = exchange.header("X-Request-Timeout");
    if (text.empty())
        return fallback;
    double value = 0;
    auto const* end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, value);
    bool const is_valid = parsed.ec == std::errc() && parsed.ptr == end;
    if (!is_valid || !(value >= min_timeout && value <= max_timeout))
        throw refusal({400, "bad-header", "X-Request-Timeout must be 0.001 to 86400 seconds"});
    return from_seconds(value);
}

nlohmann::json parse_json_body(api_exchange const& exchange)
{
    auto const coding = exchange.header("Content-Encoding");
    if (!coding.empty() && coding != "identity")
        throw refusal({415, "unsupported-media-type",
                       "Content-Encoding \"" + coding + "\" is not supported"});
    try
    {
        return nlohmann::json::parse(exchange.body());
    }
    catch (nlohmann::json::exception const& exception)
    {
        throw refusal({400, "bad-json", exception.what()});
    }
}

} // namespace lagoonladder::completion
