#include <lagoonladder/version/configuration.hpp>

#include <algorithm>

namespace lagoonladder::version
{

namespace
{

bool is_safe_method(std::string const& method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

bool is_path_prefix(std::string const& prefix, std::string const& path)
{
    if (path.compare(0, prefix.size(), prefix) != 0)
        return false;
    return path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/' ||
           path[prefix.size()] == '?';
}

bool matches(route_config const& route, service_name const& service, std::string const& method,
             std::string const& path)
{
    return route.service == service && (route.method == "*" || route.method == method) &&
           is_path_prefix(route.path, path);
}

bool is_more_specific(route_config const& left, route_config const& right)
{
    if (left.path.size() != right.path.size())
        return left.path.size() > right.path.size();
    return left.method != "*" && right.method == "*";
}

} // namespace

service_config const* configuration::find_service(service_name const& name) const
{
    auto const found = this->services.find(name);
    return found == this->services.end() ? nullptr : &found->second;
}

account_config const* configuration::find_account_by_key_hash(std::string const& key_sha256) const
{
    auto const found =
        std::find_if(this->accounts.begin(), this->accounts.end(),
                     [&](auto const& item) { return item.second.key_sha256 == key_sha256; });
    return found == this->accounts.end() ? nullptr : &found->second;
}

route_config const* configuration::find_route(service_name const& service,
                                              std::string const& method,
                                              std::string const& path) const
{
    route_config const* best = nullptr;
    for (auto const& route : this->routes)
    {
        if (matches(route, service, method, path) &&
            (best == nullptr || is_more_specific(route, *best)))
            best = &route;
    }
    return best;
}

bool configuration::is_idempotent(service_name const& service, std::string const& method,
                                  std::string const& path) const
{
    auto const* route = this->find_route(service, method, path);
    if (route == nullptr || route->idempotent_by_method)
        return is_safe_method(method);
    return route->idempotent;
}

} // namespace lagoonladder::version
