#include "rows.hpp"

#include <cstdio>

#include <lagoonladder/version.hpp>

namespace lagoonladder::capacity
{

namespace
{

std::string numbered_name(char const* prefix, std::size_t number)
{
    char text[64];
    std::snprintf(text, sizeof text, "%s-%05zu", prefix, number);
    return text;
}

std::string make_address(std::size_t number, unsigned port)
{
    return "10." + std::to_string(number % data_centre_count) + "." +
           std::to_string(number / 250 % 250) + "." + std::to_string(number % 250) + ":" +
           std::to_string(port);
}

data_centre_id data_centre_of(std::size_t number)
{
    return data_centre_id("dc" + std::to_string(number % data_centre_count));
}

zone_id zone_of(std::size_t number)
{
    return zone_id(data_centre_of(number).value() + "-a");
}

request::at_most_once_key key_of(std::size_t number)
{
    return {account_id(numbered_name("account", number % 5)), service_name("booking"),
            idempotency_key(numbered_name("0d9c1c1e-6f5b-4e57-9a39", number))};
}

} // namespace

connection::entry_record make_entry(std::size_t number)
{
    connection::entry_record row;
    row.vm = vm_id(numbered_name("vm", number));
    row.data_centre = data_centre_of(number);
    row.zone = zone_of(number);
    row.http = network_address(make_address(number, 8000));
    row.control = network_address(make_address(number, 8001));
    row.incarnation = incarnation(1'796'000'000'000'000 + number);
    row.heartbeat = heartbeat_count(100'000);
    row.generation = generation(100'000);
    row.open_requests = 20;
    return row;
}

connection::endpoint_record make_endpoint(std::size_t number)
{
    connection::endpoint_record row;
    row.id = endpoint_id(numbered_name("advisor", number));
    row.service = service_name("advisor");
    row.version = version_name("v12");
    row.address = network_address(make_address(number, 9000));
    row.vm = vm_id(numbered_name("vm-gpu", number));
    row.data_centre = data_centre_of(number);
    row.zone = zone_of(number);
    row.machine_class = "gpu-2-large";
    row.reclaimable = number % 100 < 42;
    row.incarnation = incarnation(1'796'000'000'000'000 + number);
    row.sequence = 100'000;
    row.load = {12, 3, 16, 452.6};
    return row;
}

request::route_candidate make_candidate(std::size_t number, random_source& random)
{
    request::route_candidate candidate;
    candidate.endpoint_id = endpoint_id(numbered_name("advisor", number));
    candidate.data_centre = data_centre_of(number);
    candidate.zone = zone_of(number);
    candidate.version = version_name("v12");
    candidate.slots = 16;
    candidate.load = 16 * random.unit();
    candidate.prefix_match = random.unit();
    return candidate;
}

std::string make_configuration(std::size_t services, std::size_t change)
{
    std::string text;
    for (std::size_t i = 0; i < services; ++i)
    {
        auto const name = numbered_name("service", i);
        text += "[service " + name + "]\nkind = model_engine\nversion = v1\nwatch = " +
                std::to_string(1 + change % 1000) + " s\nfinish_within = 20 min\n\n";
        text += "[route " + numbered_name("route", i) + "]\nservice = " + name +
                "\nmethod = POST\npath = /v1\n\n";
        text += "[account " + numbered_name("account", i) +
                "]\nkey_sha256 = " + version::sha256_hex(name) + "\nshare = 2\n\n";
    }
    return text;
}

request::at_most_once_begin make_begin(std::size_t number, wall_time now)
{
    request::at_most_once_begin out;
    out.key = key_of(number);
    out.body_digest = version::sha256_hex("body");
    out.attempt = attempt_id(numbered_name("vm-00001-a", number));
    out.arrived = now;
    out.deadline = now + seconds(30);
    return out;
}

request::at_most_once_finish make_finish(std::size_t number)
{
    request::at_most_once_finish out;
    out.key = key_of(number);
    out.attempt = attempt_id(numbered_name("vm-00001-a", number));
    out.answer = request::stored_answer{200, "application/json", std::string(200, 'x')};
    return out;
}

} // namespace lagoonladder::capacity
