#ifndef LAGOONLADDER_VERSION_TESTS_SERVICE_MAPS_HPP
#define LAGOONLADDER_VERSION_TESTS_SERVICE_MAPS_HPP

#include <lagoonladder/version.hpp>

namespace lagoonladder::version
{

inline pass_through_route make_route(std::string const& name, std::string const& prefix)
{
    pass_through_route route;
    route.name = route_name(name);
    route.host = std::string("h");
    route.path_prefix = prefix;
    route.split = {{service_name("s"), 1}};
    return route;
}

inline service_map make_map(std::uint64_t number)
{
    service_map map;
    map.number = number;
    pass_through_service service;
    service.name = service_name("s");
    service.cold_rate = 6.6;
    service.cold_time = seconds(3);
    map.services.push_back(service);
    map.routes = {make_route("a", "/a/"), make_route("ab", "/a/b/"), make_route("all", "/")};
    pass_through_account account;
    account.name = account_id("t");
    account.keys = {"k1", "k2"};
    account.quota = token_quota{10, 20, 5};
    map.accounts.push_back(account);
    return map;
}

/// Returns a configuration with many routes whose names and paths are random, so that it
/// compresses as badly as real ones.
inline service_configuration make_large_configuration(std::uint64_t number, std::size_t routes)
{
    service_configuration result{make_map(number), {}};
    seeded_random random(number);
    for (std::size_t i = 0; i < routes; ++i)
    {
        auto const name = "r-" + std::to_string(random.next());
        auto const prefix = "/" + std::to_string(random.next()) + "/";
        result.map.routes.push_back(make_route(name, prefix));
        result.document += "{\"name\":\"" + name + "\",\"hostname\":\"h\",\"pathPrefix\":\"" +
                           prefix + "\",\"service\":\"s\",\"timeoutMs\":8000}";
    }
    return result;
}

inline apply_service_map make_map_command(std::uint64_t number, std::string const& document)
{
    return make_apply_command({make_map(number), document});
}

/// Returns the command as it is decoded from the log.
inline command make_command(command_body body, wall_time now = wall_time(seconds(1)))
{
    return decode_command(encode(command{now, std::move(body)}));
}

} // namespace lagoonladder::version

#endif
