#include <lagoonladder/consensus.hpp>
#include <lagoonladder/version.hpp>

#include "measurement.hpp"
#include "rows.hpp"
#include "sections.hpp"

namespace lagoonladder::capacity
{

namespace
{

version::command make_configuration_command(std::size_t services, std::uint64_t base)
{
    version::apply_configuration body;
    body.base = generation(base);
    body.file = "site.ini";
    body.text = make_configuration(services, base);
    body.operation = operation_id("op-" + std::to_string(base));
    return {start_wall_time(), body};
}

void measure_configuration_change(std::size_t services)
{
    version::control_state state;
    std::uint64_t base = 0;
    auto const apply_time = median_microseconds(9, 1,
                                                [&]
                                                {
                                                    auto const change =
                                                        make_configuration_command(services, base);
                                                    state.apply(++base, change);
                                                });
    auto const shared = state.shared();
    auto const status = version::status_of(*shared);
    auto const encoded = version::encode(status);
    auto const rebuild = [&]
    {
        version::make_shared_state(version::decode_shared_status(encoded), version::shared_state(),
                                   {shared->configuration_content});
    };
    print_figure(
        "configuration.change", std::to_string(services) + " services",
        {{"generation", static_cast<double>(shared->generation.value())},
         {"text_bytes", shared->text.size()},
         {"command_bytes", version::encode(make_configuration_command(services, base)).size()},
         {"status_bytes", encoded.size()},
         {"content_bytes", shared->configuration_content.size()},
         {"apply_us", apply_time},
         {"encode_us", median_microseconds(9, 10, [&] { version::encode(status); })},
         {"decode_us", median_microseconds(9, 10, rebuild)}});
}

/// Returns a configuration whose route names and paths do not repeat, with as much text per
/// route as operators of large sites send.
version::service_configuration make_pass_through_configuration(std::size_t routes)
{
    version::service_configuration configuration;
    configuration.map.number = 1;
    version::pass_through_service service;
    service.name = service_name("model");
    configuration.map.services = {service};
    seeded_random random(routes);
    for (std::size_t i = 0; i < routes; ++i)
    {
        version::pass_through_route route;
        route.name = route_name("r-" + std::to_string(random.next()));
        route.host = "host.example";
        route.path_prefix = "/" + std::to_string(random.next()) + "/";
        route.split = {{service.name, 1}};
        configuration.document += "{\"name\":\"" + route.name.value() + "\",\"hostname\":\"" +
                                  route.host + "\",\"pathPrefix\":\"" + route.path_prefix +
                                  "\",\"routeType\":\"stream\",\"timeoutMs\":8000,"
                                  "\"targetLatencyMs\":1000,\"priority\":1,\"trafficSplit\":"
                                  "[{\"backend\":\"model\",\"weight\":100}],\"maxAttempts\":1,"
                                  "\"allowAnonymous\":false,\"sessionAffinity\":true,"
                                  "\"resumable\":false,\"targetGapMs\":600},";
        configuration.map.routes.push_back(std::move(route));
    }
    return configuration;
}

/// Measures the cost of a large configuration for the entry that receives it (pack) and for
/// each daemon that applies it (unpack and index).
void measure_pass_through(std::size_t routes)
{
    constexpr std::size_t repetitions = 9;
    auto const configuration = make_pass_through_configuration(routes);
    auto const command = version::make_apply_command(configuration);
    auto const pack = [&] { version::make_apply_command(configuration); };
    auto const unpack = [&] { version::unpack(command.content); };
    auto const index = [&]
    {
        version::service_index(
            version::decode_service_configuration(version::unpack(command.content)).map);
    };
    print_figure("configuration.pass_through", std::to_string(routes) + " routes",
                 {{"document_bytes", configuration.document.size()},
                  {"packed_bytes", command.content.size()},
                  {"parts", version::split(command.content).size()},
                  {"pack_us", median_microseconds(repetitions, 1, pack)},
                  {"unpack_us", median_microseconds(repetitions, 1, unpack)},
                  {"unpack_and_index_us", median_microseconds(repetitions, 1, index)}});
}

/// Measures the report of one interval: 20 services with one version and route each.
void measure_report()
{
    constexpr std::size_t samples = 20;
    std::vector<version::traffic_sample> report(samples);
    for (std::size_t i = 0; i < samples; ++i)
    {
        report[i].service = service_name("service-" + std::to_string(i));
        report[i].version = version_name("v12");
        report[i].route = route_name("route-" + std::to_string(i));
        report[i].requests = 2;
        report[i].first_token.add(milliseconds(400));
        report[i].between_tokens.add(milliseconds(31));
        report[i].whole_call.add(seconds(9));
    }
    auto const bytes = pack(report);
    print_figure(
        "report", "20 samples",
        {{"bytes_per_sample", static_cast<double>(bytes.size()) / samples},
         {"encode_us_per_sample", median_microseconds(9, 10, [&] { pack(report); }) / samples},
         {"decode_us_per_sample",
          median_microseconds(9, 10, [&] { unpack<version::traffic_sample>(bytes); }) / samples}});
}

consensus::message make_append(std::vector<std::string> const& commands)
{
    consensus::message out;
    out.from = consensus::make_voter_id(vm_id("vm-00001"), 1'796'000'000'000'000);
    out.to = consensus::make_voter_id(vm_id("vm-00002"), 1'796'000'000'000'001);
    out.term = consensus::term_number(40);
    out.index = consensus::log_index(1'000'000);
    out.log_term = consensus::term_number(40);
    out.commit = consensus::log_index(1'000'000);
    out.round = 1'000'000;
    out.reply_number = 1'796'000'000'000'000;
    auto index = out.index.value();
    for (auto const& command : commands)
        out.entries.push_back(
            {consensus::log_index(++index), out.term, consensus::entry_kind::command, command});
    return out;
}

void measure_message(char const* name, consensus::message const& value)
{
    auto const bytes = consensus::encode_message(value);
    auto const encode_time = median_microseconds(9, 100, [&] { consensus::encode_message(value); });
    auto const decode_time = median_microseconds(9, 100, [&] { consensus::decode_message(bytes); });
    for (double const voters : {3.0, 5.0, 13.0})
        print_figure(name, std::to_string(static_cast<int>(voters)) + " voters",
                     {{"bytes_each", bytes.size()},
                      {"leader_bytes", static_cast<double>(bytes.size()) * (voters - 1)},
                      {"leader_encode_us", encode_time * (voters - 1)},
                      {"decode_us", decode_time}});
}

} // namespace

void measure_configuration()
{
    for (std::size_t const services : {2, 10, 50})
        measure_configuration_change(services);
    for (std::size_t const routes : {300, 1'800, 10'000})
        measure_pass_through(routes);
    measure_report();
}

void measure_consensus()
{
    auto const begin_command =
        version::encode(version::command{start_wall_time(), make_begin(1, start_wall_time())});
    auto reply = make_append({});
    reply.type = consensus::message_type::append_reply;
    measure_message("consensus.heartbeat", make_append({}));
    measure_message("consensus.reply", reply);
    measure_message("consensus.once_begin", make_append({begin_command}));
    measure_message("consensus.change_10",
                    make_append({version::encode(make_configuration_command(10, 1))}));
}

} // namespace lagoonladder::capacity
