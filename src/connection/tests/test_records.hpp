#ifndef LAGOONLADDER_CONNECTION_TESTS_TEST_RECORDS_HPP
#define LAGOONLADDER_CONNECTION_TESTS_TEST_RECORDS_HPP

#include <string>

#include <lagoonladder/connection.hpp>

namespace lagoonladder::connection
{

inline endpoint_record make_endpoint(std::string const& id, std::uint64_t incarnation_number,
                                     std::uint64_t sequence,
                                     endpoint_state state = endpoint_state::serving)
{
    endpoint_record endpoint;
    endpoint.id = endpoint_id(id);
    endpoint.service = service_name("assistant");
    endpoint.version = version_name("v1");
    endpoint.address = network_address("127.0.0.1:9000");
    endpoint.vm = vm_id("vm-" + id);
    endpoint.data_centre = data_centre_id("d1");
    endpoint.zone = zone_id("z1");
    endpoint.incarnation = incarnation(incarnation_number);
    endpoint.sequence = sequence;
    endpoint.state = state;
    return endpoint;
}

inline entry_record make_entry(std::string const& vm, std::string const& data_centre,
                               std::uint64_t incarnation_number = 1, std::uint64_t heartbeat = 0,
                               entry_state state = entry_state::serving)
{
    entry_record entry;
    entry.vm = vm_id(vm);
    entry.data_centre = data_centre_id(data_centre);
    entry.zone = zone_id(data_centre + "-a");
    entry.http = network_address("127.0.0.1:8000");
    entry.control = network_address("127.0.0.1:8001");
    entry.incarnation = incarnation(incarnation_number);
    entry.heartbeat = heartbeat_count(heartbeat);
    entry.state = state;
    return entry;
}

/// Time `offset` after the start of a test.
inline time_point at(duration offset)
{
    return time_point{} + std::chrono::hours(1) + offset;
}

} // namespace lagoonladder::connection

#endif
