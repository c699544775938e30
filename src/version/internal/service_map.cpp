#include <lagoonladder/version/service_map.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

#include "envelope.hpp"

namespace lagoonladder::version
{

namespace
{

std::string find_split_problem(pass_through_route const& route,
                               std::set<service_name> const& services)
{
    std::uint64_t total = 0;
    for (auto const& part : route.split)
    {
        if (!services.contains(part.service))
            return "route " + route.name.value() + " refers to the unknown service " +
                   part.service.value();
        total += part.weight;
    }
    if (total == 0)
        return "the weights of route " + route.name.value() + " add up to 0";
    return {};
}

std::string find_route_problem(pass_through_route const& route)
{
    if (route.timeout <= duration(0))
        return "the timeout of route " + route.name.value() + " is not positive";
    bool const has_slashes = !route.path_prefix.empty() && route.path_prefix.front() == '/' &&
                             route.path_prefix.back() == '/';
    if (!has_slashes)
        return "the path prefix of route " + route.name.value() + " does not begin and end with /";
    if (route.max_attempts == 0)
        return "route " + route.name.value() + " allows no attempt";
    return {};
}

std::string find_account_problem(service_map const& map)
{
    if (!map.requires_key && !map.accounts.empty())
        return "accounts are listed although no key is required";
    std::map<std::string, account_id> key_owners;
    std::set<account_id> names;
    for (auto const& account : map.accounts)
    {
        if (!names.insert(account.name).second)
            return "account " + account.name.value() + " is listed twice";
        for (auto const& key : account.keys)
        {
            if (key_owners.emplace(key, account.name).first->second != account.name)
                return "account " + account.name.value() + " has a key of another account";
        }
    }
    return {};
}

} // namespace

// Not in an unnamed namespace, since the JSON library finds these functions by
// argument-dependent lookup in the namespace of the type.

static void to_json(nlohmann::json& out, weighted_service const& in)
{
    out = {{"service", in.service}, {"weight", in.weight}};
}

static void from_json(nlohmann::json const& in, weighted_service& out)
{
    in.at("service").get_to(out.service);
    in.at("weight").get_to(out.weight);
}

static void to_json(nlohmann::json& out, pass_through_route const& in)
{
    out = {{"name", in.name},
           {"host", in.host},
           {"prefix", in.path_prefix},
           {"once", in.retry == retry_policy::at_most_once},
           {"stream", in.is_stream},
           {"resumable", in.is_resumable},
           {"affinity", in.has_prefix_affinity},
           {"anonymous", in.is_anonymous},
           {"timeout", in.timeout},
           {"latency", in.latency_objective},
           {"gap", in.gap_objective},
           {"priority", in.priority},
           {"attempts", in.max_attempts},
           {"split", in.split}};
}

static void from_json(nlohmann::json const& in, pass_through_route& out)
{
    in.at("name").get_to(out.name);
    in.at("host").get_to(out.host);
    in.at("prefix").get_to(out.path_prefix);
    out.retry = in.at("once").get<bool>() ? retry_policy::at_most_once : retry_policy::idempotent;
    in.at("stream").get_to(out.is_stream);
    in.at("resumable").get_to(out.is_resumable);
    in.at("affinity").get_to(out.has_prefix_affinity);
    in.at("anonymous").get_to(out.is_anonymous);
    in.at("timeout").get_to(out.timeout);
    in.at("latency").get_to(out.latency_objective);
    in.at("gap").get_to(out.gap_objective);
    in.at("priority").get_to(out.priority);
    in.at("attempts").get_to(out.max_attempts);
    in.at("split").get_to(out.split);
}

static void to_json(nlohmann::json& out, scaling_limits const& in)
{
    auto prices = nlohmann::json::array();
    for (auto const& [data_centre, price] : in.prices)
        prices.push_back({data_centre, price});
    out = {{"least", in.min_replicas},
           {"most", in.max_replicas},
           {"start_time", in.start_time},
           {"reclaimable_price", in.reclaimable_price},
           {"prices", std::move(prices)}};
}

static void from_json(nlohmann::json const& in, scaling_limits& out)
{
    in.at("least").get_to(out.min_replicas);
    in.at("most").get_to(out.max_replicas);
    in.at("start_time").get_to(out.start_time);
    in.at("reclaimable_price").get_to(out.reclaimable_price);
    out.prices.clear();
    for (auto const& item : in.at("prices"))
        out.prices.emplace(item.at(0).get<data_centre_id>(), item.at(1).get<double>());
}

static void to_json(nlohmann::json& out, pass_through_service const& in)
{
    out = {{"name", in.name},
           {"health_path", in.health_path},
           {"connections", in.max_connections},
           {"engine", in.is_engine},
           {"slots", in.engine_slots},
           {"memory", in.engine_memory_tokens},
           {"scaling", optional_json(in.scaling)},
           {"cold_rate", in.cold_rate},
           {"cold_time", in.cold_time}};
}

static void from_json(nlohmann::json const& in, pass_through_service& out)
{
    in.at("name").get_to(out.name);
    in.at("health_path").get_to(out.health_path);
    in.at("connections").get_to(out.max_connections);
    in.at("engine").get_to(out.is_engine);
    in.at("slots").get_to(out.engine_slots);
    in.at("memory").get_to(out.engine_memory_tokens);
    out.scaling = optional_from<scaling_limits>(in.at("scaling"));
    // Earlier releases did not write these fields.
    out.cold_rate = in.value("cold_rate", 0.0);
    out.cold_time = in.value("cold_time", duration::zero());
}

static void to_json(nlohmann::json& out, token_quota const& in)
{
    out = {{"rate", in.tokens_per_second}, {"burst", in.burst}, {"default", in.default_tokens}};
}

static void from_json(nlohmann::json const& in, token_quota& out)
{
    in.at("rate").get_to(out.tokens_per_second);
    in.at("burst").get_to(out.burst);
    in.at("default").get_to(out.default_tokens);
}

static void to_json(nlohmann::json& out, pass_through_account const& in)
{
    out = {{"name", in.name},
           {"keys", in.keys},
           {"priority", optional_json(in.priority)},
           {"quota", optional_json(in.quota)}};
}

static void from_json(nlohmann::json const& in, pass_through_account& out)
{
    in.at("name").get_to(out.name);
    in.at("keys").get_to(out.keys);
    out.priority = optional_from<std::uint32_t>(in.at("priority"));
    out.quota = optional_from<token_quota>(in.at("quota"));
}

static void to_json(nlohmann::json& out, caller_limits const& in)
{
    out = {{"header_bytes", in.max_header_bytes},
           {"body_bytes", in.max_body_bytes},
           {"header_timeout", in.header_timeout},
           {"idle_timeout", in.idle_timeout}};
}

static void from_json(nlohmann::json const& in, caller_limits& out)
{
    in.at("header_bytes").get_to(out.max_header_bytes);
    in.at("body_bytes").get_to(out.max_body_bytes);
    in.at("header_timeout").get_to(out.header_timeout);
    in.at("idle_timeout").get_to(out.idle_timeout);
}

void to_json(nlohmann::json& out, service_map const& in)
{
    out = {{"number", in.number},
           {"routes", in.routes},
           {"services", in.services},
           {"accounts", in.accounts},
           {"requires_key", in.requires_key},
           {"limits", in.limits}};
}

void from_json(nlohmann::json const& in, service_map& out)
{
    in.at("number").get_to(out.number);
    in.at("routes").get_to(out.routes);
    in.at("services").get_to(out.services);
    in.at("accounts").get_to(out.accounts);
    // Earlier releases did not write this field.
    out.requires_key = in.value("requires_key", true);
    in.at("limits").get_to(out.limits);
}

std::string find_problem(service_map const& map)
{
    std::set<service_name> services;
    for (auto const& service : map.services)
    {
        if (!services.insert(service.name).second)
            return "service " + service.name.value() + " is listed twice";
    }
    std::set<std::tuple<std::string, std::string>> host_and_prefix_pairs;
    for (auto const& route : map.routes)
    {
        auto problem = find_route_problem(route);
        if (problem.empty())
            problem = find_split_problem(route, services);
        if (!problem.empty())
            return problem;
        if (!host_and_prefix_pairs.insert({route.host, route.path_prefix}).second)
            return "two routes share host " + route.host + " and prefix " + route.path_prefix;
    }
    return find_account_problem(map);
}

service_index::service_index(service_map indexed_map)
    : source(std::move(indexed_map))
{
    for (auto const& route : this->source.routes)
        this->hosts[route.host][route.path_prefix] = &route;
    for (auto const& service : this->source.services)
        this->services[service.name] = &service;
    for (auto const& account : this->source.accounts)
    {
        for (auto const& key : account.keys)
        {
            if (!key.empty())
                this->keys[key] = &account;
        }
    }
}

pass_through_route const* service_index::find_route(std::string_view host,
                                                    std::string_view path) const
{
    auto const routes = this->hosts.find(host);
    if (routes == this->hosts.end())
        return nullptr;
    path = path.substr(0, path.find('?'));
    // Prefixes end with "/", so only the positions of "/" in the path are tried.
    for (auto end = path.rfind('/'); end != std::string_view::npos;)
    {
        auto const found = routes->second.find(path.substr(0, end + 1));
        if (found != routes->second.end())
            return found->second;
        end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1);
    }
    return nullptr;
}

pass_through_service const* service_index::find_service(service_name const& name) const
{
    auto const found = this->services.find(name);
    return found == this->services.end() ? nullptr : found->second;
}

pass_through_account const* service_index::find_account_by_key(std::string const& key) const
{
    auto const found = this->keys.find(key);
    return found == this->keys.end() ? nullptr : found->second;
}

pass_through_account const* service_index::find_account(account_id const& name) const
{
    auto const& all = this->source.accounts;
    auto const found = std::find_if(all.begin(), all.end(),
                                    [&](auto const& account) { return account.name == name; });
    return found == all.end() ? nullptr : &*found;
}

std::set<region_id> home_regions(service_index const& index, std::string_view host)
{
    std::set<region_id> regions;
    for (auto const& route : index.map().routes)
    {
        if (route.host != host)
            continue;
        if (route.regions.empty())
            return {};
        regions.insert(route.regions.begin(), route.regions.end());
    }
    return regions;
}

} // namespace lagoonladder::version
