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

void route_table::add_prefix(std::string method, std::string prefix, bool matches_remainder,
                             handler action)
{
    this->routes.push_back(
        {std::move(method), std::move(prefix), true, matches_remainder, std::move(action)});
}

bool route_table::matches(route const& candidate, api_exchange const& exchange)
{
    // HEAD is served by the GET handler; its response is sent without the body.
    bool const has_matching_method = candidate.method == exchange.method() ||
                                     (candidate.method == "GET" && exchange.method() == "HEAD");
    if (!has_matching_method)
        return false;
    auto const& path = exchange.path();
    if (!candidate.is_prefix)
        return path == candidate.path;
    if (!path.starts_with(candidate.path) || path.size() == candidate.path.size())
        return false;
    return candidate.matches_remainder ||
           path.find('/', candidate.path.size()) == std::string::npos;
}

void route_table::handle(std::shared_ptr<http::server_exchange> const& http_exchange)
{
    auto const exchange = std::make_shared<api_exchange>(this->context, http_exchange);
    for (auto const& candidate : this->routes)
    {
        if (!matches(candidate, *exchange))
            continue;
        if (candidate.is_prefix)
            exchange->set_argument(exchange->path().substr(candidate.path.size()));
        return exchange->guard([&] { candidate.action(exchange); });
    }
    exchange->refuse({404, "not-found", "no such path: " + exchange->path()});
}

std::string route_table::rejection_body(http::response_head& head, std::string const& reason)
{
    problem const rejection{static_cast<int>(head.status), rejection_type(head.status), reason};
    this->context.metrics.add("refused_requests_total", {{"type", rejection.type}});
    head.headers.set("Content-Type", "application/problem+json");
    head.headers.set("Retry-After", format_retry_after(rejection.retry_after));
    return format_problem(rejection);
}

} // namespace lagoonladder::completion
