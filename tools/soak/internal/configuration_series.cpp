#include <algorithm>

#include <lagoonladder/soak.hpp>

namespace lagoonladder::soak
{

namespace
{

constexpr std::uint64_t largest_step = 9;
constexpr std::size_t most_routes = 14;

nlohmann::json make_route(std::string const& name, std::string const& service)
{
    return {{"name", name},
            {"hostname", call_host},
            {"pathPrefix", "/" + name + "/"},
            {"routeType", "safe"},
            {"timeoutMs", 4000},
            {"targetLatencyMs", 100},
            {"priority", 2},
            {"backend", service},
            {"maxAttempts", 2},
            {"allowAnonymous", false},
            {"sessionAffinity", false},
            {"resumable", false}};
}

nlohmann::json make_service(std::string const& name)
{
    return {{"name", name},
            {"healthPath", "/healthz"},
            {"maxConnections", 130},
            {"protocol", "h1"},
            {"tls", false}};
}

} // namespace

configuration_series::configuration_series(std::vector<std::string> initial_services)
    : services(std::move(initial_services))
{
}

change_event configuration_series::next_change(std::mt19937_64& random)
{
    auto const change = this->draw_change(random);
    auto& stored = this->changes[change.version];
    stored.service_by_route = this->current;
    for (auto const& [route, service] : this->current)
        stored.names.insert(route);
    return change;
}

change_event configuration_series::next_invalid_change(std::mt19937_64& random)
{
    change_event change;
    change.version = this->take_version(random);
    change.valid = false;
    auto& stored = this->changes[change.version];
    stored.service_by_route = this->current;
    stored.service_by_route["invalid"] = "service-that-is-not-defined";
    for (auto const& [route, service] : stored.service_by_route)
        stored.names.insert(route);
    return change;
}

std::string configuration_series::content(config_version version) const
{
    auto routes = nlohmann::json::array();
    for (auto const& [route, service] : this->changes.at(version).service_by_route)
        routes.push_back(make_route(route, service));
    auto defined = nlohmann::json::array();
    for (auto const& service : this->services)
        defined.push_back(make_service(service));
    nlohmann::json document;
    document["version"] = version;
    document["routes"] = routes;
    document["services"] = defined;
    document["limits"] = {{"maxHeaderBytes", 16384},
                          {"maxBodyBytes", 4194304},
                          {"headerTimeoutMs", 3000},
                          {"idleTimeoutMs", 15000}};
    nlohmann::json tenant;
    tenant["name"] = "soak";
    tenant["apiKeys"] = nlohmann::json::array({call_key});
    tenant["priority"] = 1;
    document["tenants"] = nlohmann::json::array({tenant});
    return document.dump();
}

std::set<std::string> const& configuration_series::routes(config_version version) const
{
    static std::set<std::string> const none;
    auto const found = this->changes.find(version);
    return found == this->changes.end() ? none : found->second.names;
}

config_version configuration_series::take_version(std::mt19937_64& random)
{
    this->newest += draw_number(random, 1, largest_step);
    return config_version(this->newest);
}

change_event configuration_series::draw_change(std::mt19937_64& random)
{
    change_event change;
    change.version = this->take_version(random);
    auto const removals =
        this->current.size() >= most_routes ? std::uint64_t(2) : draw_number(random, 0, 1);
    for (std::uint64_t i = 0; i<removals&& this->current.size()> 1; ++i)
    {
        auto const victim = std::next(
            this->current.begin(),
            static_cast<std::ptrdiff_t>(draw_number(random, 0, this->current.size() - 1)));
        change.removed.push_back(victim->first);
        this->current.erase(victim);
    }
    auto const additions = draw_number(random, removals == 0 ? 1 : 0, 2);
    for (std::uint64_t i = 0; i < additions; ++i)
    {
        auto const name = "r" + std::to_string(this->newest) + "-" + std::to_string(i);
        this->current[name] = this->services[draw_number(random, 0, this->services.size() - 1)];
        change.added.push_back(name);
    }
    return change;
}

} // namespace lagoonladder::soak
