#include <traffic_http.hpp>

#include <charconv>

namespace lagoonladder::daemon
{

namespace
{

// Bounds of X-Request-Timeout, in seconds.
constexpr double min_timeout = 0.001;
constexpr double max_timeout = 24 * 3600;

problem internal_problem(std::string const& detail)
{
    problem failed;
    failed.status = 500;
    failed.type = "internal";
    failed.detail = detail;
    failed.executed = execution::unknown;
    return failed;
}

} // namespace

void send_refusal(traffic_context& context, httplib::Request const& request,
                  httplib::Response& response, problem const& refused)
{
    response.status = refused.status;
    response.set_header("Retry-After", format_retry_after(refused.retry_after));
    if (!refused.request_id.empty() && !response.has_header("X-Request-Id"))
        response.set_header("X-Request-Id", refused.request_id);
    if (!refused.location.empty())
        response.set_header("Location", refused.location);
    response.set_content(format_problem(refused), "application/problem+json");
    context.metrics.add("refused_requests_total", {{"type", refused.type}});
    context.events.emit(severity::warning, "request.refused",
                        {{"method", request.method},
                         {"path", request.path},
                         {"caller", request.remote_addr},
                         {"status", std::to_string(refused.status)},
                         {"type", refused.type},
                         {"executed", to_string(refused.executed)},
                         {"request_id", refused.request_id},
                         {"detail", refused.detail}});
}

httplib::Server::Handler guarded(traffic_context& context, httplib::Server::Handler handler)
{
    return [&context, handler = std::move(handler)](httplib::Request const& request,
                                                    httplib::Response& response)
    {
        try
        {
            handler(request, response);
        }
        catch (refusal const& refused)
        {
            send_refusal(context, request, response, refused.details);
        }
        catch (std::exception const& failed)
        {
            send_refusal(context, request, response, internal_problem(failed.what()));
        }
    };
}

std::string bearer_token(httplib::Request const& request)
{
    static std::string const scheme = "Bearer ";
    auto const header = request.get_header_value("Authorization");
    return header.compare(0, scheme.size(), scheme) == 0 ? header.substr(scheme.size()) : "";
}

version::account_config const& authenticate(control_view const& view,
                                            httplib::Request const& request)
{
    auto const key = bearer_token(request);
    auto const* account =
        key.empty() ? nullptr
                    : view.shared->configuration.find_account_by_key_hash(version::sha256_hex(key));
    if (!account)
    {
        problem unknown{401, "unauthorized", "the account key is missing or not known"};
        throw refusal(unknown);
    }
    return *account;
}

std::shared_ptr<control_view const> ready_view(traffic_context& context, execution executed)
{
    auto view = context.control.view();
    if (!view || !view->ready || !view->shared)
    {
        problem starting{503, "not-ready", "this entry has not read the control state yet",
                         executed};
        throw refusal(starting);
    }
    return view;
}

duration request_timeout(httplib::Request const& request, duration fallback)
{
    auto const text = request.get_header_value("X-Request-Timeout");
    if (text.empty())
        return fallback;
    double value = 0;
    auto const* end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, value);
    bool const valid = parsed.ec == std::errc() && parsed.ptr == end;
    if (!valid || !(value >= min_timeout && value <= max_timeout))
    {
        problem bad{400, "bad-header", "X-Request-Timeout must be 0.001 to 86400 seconds"};
        throw refusal(bad);
    }
    return from_seconds(value);
}

nlohmann::json parse_json_body(httplib::Request const& request)
{
    try
    {
        return nlohmann::json::parse(request.body);
    }
    catch (nlohmann::json::exception const& malformed)
    {
        problem bad{400, "bad-json", malformed.what()};
        throw refusal(bad);
    }
}

} // namespace lagoonladder::daemon
