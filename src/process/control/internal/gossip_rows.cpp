#include "gossip_rows.hpp"

namespace lagoonladder::control
{

namespace
{

/// Builds a MessagePack array from the marks' rows, which are already encoded.
std::string pack_marks(connection::mark_message const& message, connection::mark_kind kind)
{
    constexpr char array_of_32_bit_length = '\xdd';
    std::string rows;
    std::uint32_t count = 0;
    for (auto const& mark : message.marks)
    {
        if (mark->kind != kind)
            continue;
        rows += mark->row;
        ++count;
    }
    if (count == 0)
        return {};
    std::string bytes(1, array_of_32_bit_length);
    for (int shift = 24; shift >= 0; shift -= 8)
        bytes.push_back(static_cast<char>(count >> shift & 0xff));
    return bytes + rows;
}

} // namespace

void add_marks(connection::mark_message const& message, protocol::Digest& digest)
{
    digest.set_leaving_only(true);
    digest.set_entries(pack_marks(message, connection::mark_kind::entry));
    digest.set_endpoints(pack_marks(message, connection::mark_kind::endpoint));
}

std::uint64_t row_key(connection::endpoint_record const& row)
{
    return stable_hash(row.id.value(), row.incarnation.value());
}

std::uint64_t row_key(connection::entry_record const& row)
{
    return stable_hash(row.vm.value(), row.incarnation.value());
}

std::uint64_t row_version(connection::endpoint_record const& row)
{
    return 2 * row.sequence + (row.state == connection::endpoint_state::leaving ? 1 : 0);
}

std::uint64_t row_version(connection::entry_record const& row)
{
    return 2 * row.heartbeat.value() + (row.state == connection::entry_state::leaving ? 1 : 0);
}

} // namespace lagoonladder::control
