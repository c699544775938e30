#include <lagoonladder/completion/route_table.hpp>

namespace lagoonladder::completion
{

namespace
{

char const* rejection_type(unsigned status)
{
    switch (status)
    {
    case 408:
        return "request-timeout";
    case 413:
        return "body-too-large";
    case 431:
        return "headers-too-large";
    case 503:
        return "too-many-connections";
    default:
        return "bad-request";
    }
}

} // namespace

void route_table::add(std::string method, std::string path, handler action)
{
    this->routes.push_back({std::move(method), std::move(path), false, false, std::move(action)});
}

void route_table::add_prefix(std::string method, std::string prefix, bool takes_rest,
                             handler action)
{
    this->routes.push_back(
        {std::move(method), std::move(prefix), true, takes_rest, std::move(action)});
}

bool route_table::matches(route const& known, api_exchange const& exchange)
{
    // The answer to HEAD is that of GET without its body.
    bool const is_method =
        known.method == exchange.method() || (known.method == "GET" && exchange.method() == "HEAD");
    if (!is_method)
        return false;
    auto const& path = exchange.path();
    if (!known.is_prefix)
        return path == known.path;
    if (!path.starts_with(known.path) || path.size() == known.path.size())
        return false;
    return known.takes_rest || path.find('/', known.path.size()) == std::string::npos;
}

void route_table::handle(std::shared_ptr<http::server_exchange> const& received)
{
    auto const exchange = std::make_shared<api_exchange>(this->context, received);
    for (auto const& known : this->routes)
    {
        if (!matches(known, *exchange))
            continue;
        if (known.is_prefix)
            exchange->set_argument(exchange->path().substr(known.path.size()));
        return exchange->guard([&] { known.action(exchange); });
    }
    exchange->refuse({404, "not-found", "no such path: " + exchange->path()});
}

std::string route_table::rejection_body(http::response_head& head, std::string const& reason)
{
    problem const refused{static_cast<int>(head.status), rejection_type(head.status), reason};
    this->context.metrics.add("refused_requests_total", {{"type", refused.type}});
    head.headers.set("Content-Type", "application/problem+json");
    head.headers.set("Retry-After", format_retry_after(refused.retry_after));
    return format_problem(refused);
}

} // namespace lagoonladder::completion
