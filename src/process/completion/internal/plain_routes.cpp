#include <plain_routes.hpp>

#include <completion_service.hpp>
#include <lagoonladder/completion/route_table.hpp>

namespace lagoonladder::completion
{

namespace
{

constexpr std::size_t max_key_bytes = 256;

constexpr char const* path_prefix = "/services/";

/// Splits "/services/{service}/{path}?{query}" into the service and the remaining target.
std::pair<service_name, std::string> split_target(std::string const& target)
{
    auto const start = std::char_traits<char>::length(path_prefix);
    auto const end = target.find_first_of("/?", start);
    if (target.compare(0, start, path_prefix) != 0 || end == start)
        throw refusal({404, "unknown-service", "the path names no service"});
    auto remainder = end == std::string::npos ? std::string() : target.substr(end);
    if (remainder.empty() || remainder.front() != '/')
        remainder.insert(remainder.begin(), '/');
    return {service_name(target.substr(start, end - start)), std::move(remainder)};
}

/// Value of `executed` for a refusal before anything is committed. If the caller sent an
/// idempotency key, an earlier attempt may have been executed.
execution execution_without_commit(api_exchange const& exchange)
{
    return exchange.has_header("Idempotency-Key") ? execution::unknown : execution::no;
}

bool is_multipart(api_exchange const& exchange)
{
    return exchange.header("Content-Type").starts_with("multipart/form-data");
}

} // namespace

void plain_routes::register_routes(route_table& routes)
{
    for (char const* method : {"GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})
        routes.add_prefix(method, path_prefix, true,
                          [this](auto const& exchange) { this->serve(exchange); });
}

plain_call plain_routes::make_call(control_view const& view,
                                   std::shared_ptr<api_exchange> const& exchange)
{
    plain_call call;
    call.exchange = exchange;
    call.arrived = this->dependencies.context.time.now();
    call.account = authenticate(view, *exchange);
    auto [service, target] = split_target(exchange->target());
    auto const& configuration = view.shared->configuration;
    auto const* found_service = configuration.find_service(service);
    if (!found_service || found_service->kind != version::service_kind::plain)
        throw refusal(
            {404, "unknown-service", "no plain service \"" + service.value() + "\" is configured"});
    if (is_multipart(*exchange))
        throw refusal({415, "unsupported-media-type", "multipart/form-data is not supported"});
    call.service = *found_service;
    call.target = std::move(target);
    call.key = exchange->header("Idempotency-Key");
    if (call.key.size() > max_key_bytes)
        throw refusal({400, "bad-header", "Idempotency-Key is longer than 256 bytes"});
    call.deadline = call.arrived + request_timeout(*exchange, found_service->default_timeout);
    call.id = this->ids.next_id(view);
    call.version = traffic_router::version_for(view, service, call.id);
    auto const path = call.target.substr(0, call.target.find('?'));
    auto const* route = configuration.find_route(service, exchange->method(), path);
    call.route = route ? route->name : route_name("default");
    return call;
}

void plain_routes::check_age(plain_call const& call) const
{
    auto const text = call.exchange->header("X-Request-Created");
    if (text.empty())
        return;
    wall_time created{};
    try
    {
        created = parse_wall_time(text);
    }
    catch (parse_error const& exception)
    {
        throw refusal({400, "bad-header", "X-Request-Created: " + std::string(exception.what()),
                       execution::no, call.id.value()});
    }
    // The record of an earlier execution may already be deleted, so the execution would not be
    // detected.
    if (this->dependencies.context.time.wall_now() - created >
        request::at_most_once_table::retention)
        throw refusal({422, "request-too-old", "X-Request-Created is older than 24 h",
                       execution_without_commit(*call.exchange), call.id.value()});
}

void plain_routes::serve(std::shared_ptr<api_exchange> const& exchange)
{
    auto& context = this->dependencies.context;
    auto const view = ready_view(context, execution_without_commit(*exchange));
    auto call = this->make_call(*view, exchange);
    call.request_guard = std::make_shared<open_request>(context);
    exchange->set_header("X-Request-Id", call.id.value());
    context.metrics.add("requests_total", {{"service", call.service.name.value()}});
    auto const path = call.target.substr(0, call.target.find('?'));
    if (view->shared->configuration.is_idempotent(call.service.name, exchange->method(), path))
        return serve_idempotent(this->dependencies, std::move(call));
    this->check_age(call);
    serve_at_most_once(this->dependencies, std::move(call));
}

} // namespace lagoonladder::completion
