#include "gossip_rows.hpp"

namespace lagoonladder::control
{

std::uint64_t key_of(connection::endpoint_record const& row)
{
    return stable_hash(row.id.value(), row.incarnation.value());
}

std::uint64_t key_of(connection::entry_record const& row)
{
    return stable_hash(row.vm.value(), row.incarnation.value());
}

std::uint64_t version_of(connection::endpoint_record const& row)
{
    return 2 * row.sequence + (row.state == connection::endpoint_state::leaving ? 1 : 0);
}

std::uint64_t version_of(connection::entry_record const& row)
{
    return 2 * row.heartbeat.value() + (row.state == connection::entry_state::leaving ? 1 : 0);
}

} // namespace lagoonladder::control
