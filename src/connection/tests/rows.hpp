#ifndef LAGOONLADDER_CONNECTION_TESTS_ROWS_HPP
#define LAGOONLADDER_CONNECTION_TESTS_ROWS_HPP

#include <string>

#include <lagoonladder/connection.hpp>

namespace lagoonladder::connection
{

inline endpoint_record make_endpoint(std::string const& id, std::uint64_t incarnation_number,
                                     std::uint64_t sequence,
                                     endpoint_state state = endpoint_state::serving)
{
    endpoint_record row;
    row.id = endpoint_id(id);
    row.service = service_name("assistant");
    row.version = version_name("v1");
    row.address = network_address("127.0.0.1:9000");
    row.vm = vm_id("vm-" + id);
    row.data_centre = data_centre_id("d1");
    row.zone = zone_id("z1");
    row.incarnation = incarnation(incarnation_number);
    row.sequence = sequence;
    row.state = state;
    return row;
}

inline entry_record make_entry(std::string const& vm, std::string const& data_centre,
                               std::uint64_t incarnation_number = 1, std::uint64_t heartbeat = 0,
                               entry_state state = entry_state::serving)
{
    entry_record row;
    row.vm = vm_id(vm);
    row.data_centre = data_centre_id(data_centre);
    row.zone = zone_id(data_centre + "-a");
    row.http = network_address("127.0.0.1:8000");
    row.control = network_address("127.0.0.1:8001");
    row.incarnation = incarnation(incarnation_number);
    row.heartbeat = heartbeat_count(heartbeat);
    row.state = state;
    return row;
}

/// Time `offset` after the start of a test.
inline time_point at(duration offset)
{
    return time_point{} + std::chrono::hours(1) + offset;
}

} // namespace lagoonladder::connection

#endif
