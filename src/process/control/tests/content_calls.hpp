#ifndef LAGOONLADDER_CONTROL_TESTS_CONTENT_CALLS_HPP
#define LAGOONLADDER_CONTROL_TESTS_CONTENT_CALLS_HPP

#include <numeric>

#include "control_fixture.hpp"

namespace lagoonladder::control
{

/// Creates a configuration whose packed size grows with its routes. Another `variant` gives
/// another content with the same number.
inline version::service_configuration make_configuration(std::uint64_t number, std::size_t routes,
                                                         std::uint64_t variant = 0)
{
    version::service_configuration configuration;
    configuration.map.number = number;
    version::pass_through_service service;
    service.name = service_name("model");
    configuration.map.services = {service};
    configuration.document =
        "document " + std::to_string(number) + "." + std::to_string(variant) + ":";
    seeded_random random(stable_hash(configuration.document));
    for (std::size_t i = 0; i < routes; ++i)
    {
        version::pass_through_route route;
        route.name = route_name("r-" + std::to_string(random.next()));
        route.host = "host.example";
        route.path_prefix = "/" + std::to_string(random.next()) + "/";
        route.split = {{service.name, 1}};
        configuration.document += " " + route.name.value() + route.path_prefix;
        configuration.map.routes.push_back(std::move(route));
    }
    return configuration;
}

/// Number of parts in which a configuration is uploaded and fetched.
inline std::size_t part_count(version::service_configuration const& configuration)
{
    return version::split(version::make_apply_command(configuration).content).size();
}

/// Result of sending a configuration; no value when no quorum confirmed it in time.
using optional_apply_result = std::optional<version::apply_map_result>;

/// Sends a configuration once; the future receives the result.
inline std::future<optional_apply_result>
begin_apply(control_thread& loop, version::service_configuration const& configuration)
{
    auto const promise = std::make_shared<std::promise<optional_apply_result>>();
    loop.apply_services(configuration,
                        [promise](auto const& result) { promise->set_value(result); });
    return promise->get_future();
}

inline optional_apply_result apply_and_wait(control_thread& loop,
                                            version::service_configuration const& configuration)
{
    auto result = begin_apply(loop, configuration);
    if (result.wait_for(seconds(15)) != std::future_status::ready)
        throw std::runtime_error("the handler of a configuration was not called");
    return result.get();
}

/// Sends a configuration repeatedly until it is acknowledged. Returns false after 15 s.
inline bool apply_until_acknowledged(control_thread& loop,
                                     version::service_configuration const& configuration)
{
    return eventually(
        [&]
        {
            auto const result = apply_and_wait(loop, configuration);
            return result && result->problem.empty();
        });
}

/// The operator's document as read at a daemon; empty when the read failed.
inline std::string read_document(control_thread& loop)
{
    auto const promise = std::make_shared<std::promise<std::string>>();
    auto future = promise->get_future();
    loop.read_services([promise](std::shared_ptr<std::string const> const& document)
                       { promise->set_value(document ? *document : std::string()); });
    if (future.wait_for(seconds(15)) != std::future_status::ready)
        throw std::runtime_error("the handler of a read was not called");
    return future.get();
}

/// Number of the configuration in force at a daemon; 0 before the first one.
inline std::uint64_t number_in_force(control_thread& loop)
{
    auto const shared = loop.view()->shared;
    return shared->services ? shared->services->map().number : 0;
}

inline int total_calls(part_calls const& calls)
{
    return std::accumulate(calls.begin(), calls.end(), 0,
                           [](int sum, auto const& call) { return sum + call.second; });
}

inline void add_to(part_calls& sum, part_calls const& calls)
{
    for (auto const& [offset, count] : calls)
        sum[offset] += count;
}

/// Waits until all four daemons are ready and know a leader. Returns false on a timeout.
inline bool becomes_ready(small_system& system)
{
    return eventually(
        [&]
        {
            for (std::size_t i = 0; i < 4; ++i)
            {
                if (!system.loop(i).view()->ready || system.leader(i) >= 3)
                    return false;
            }
            return true;
        });
}

} // namespace lagoonladder::control

#endif
