#ifndef LAGOONLADDER_CONTROL_GOSSIP_ROWS_HPP
#define LAGOONLADDER_CONTROL_GOSSIP_ROWS_HPP

#include <algorithm>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include <control.pb.h>

#include <lagoonladder/connection.hpp>
#include <lagoonladder/observability.hpp>

namespace lagoonladder::control
{

/// The bytes of rows in a digest.
template <class Row>
std::string pack(std::vector<Row> const& rows)
{
    std::string bytes;
    nlohmann::json::to_msgpack(nlohmann::json(rows), bytes);
    return bytes;
}

/// A row that cannot be read is left out and logged: it must not keep the others
/// from spreading.
template <class Row>
std::vector<Row> unpack(std::string const& bytes, std::string const& from, event_sink& events)
{
    std::vector<Row> rows;
    if (bytes.empty())
        return rows;
    for (auto const& item : nlohmann::json::from_msgpack(bytes))
    {
        try
        {
            rows.push_back(item.get<Row>());
        }
        catch (nlohmann::json::exception const& problem)
        {
            events.emit(severity::warning, "gossip.row_dropped",
                        {{"from", from}, {"reason", problem.what()}});
        }
    }
    return rows;
}

/// The bytes of one row within those of a digest.
template <class Row>
std::string pack_row(Row const& row)
{
    std::string bytes;
    nlohmann::json::to_msgpack(nlohmann::json(row), bytes);
    return bytes;
}

/// Makes the digest one of leaving rows only.
void add_marks(connection::mark_message const& message, protocol::Digest& digest);

/// Names a row of one incarnation in a digest.
std::uint64_t key_of(connection::endpoint_record const& row);
std::uint64_t key_of(connection::entry_record const& row);

/// Grows with each change of a row that the other side should have.
std::uint64_t version_of(connection::endpoint_record const& row);
std::uint64_t version_of(connection::entry_record const& row);

template <class Row>
void add_versions(std::vector<Row> const& rows, protocol::RowVersions& out)
{
    for (auto const& row : rows)
    {
        out.add_keys(key_of(row));
        out.add_versions(version_of(row));
    }
}

/// Removes the rows that the other side has in the same version or a newer one.
template <class Row>
void erase_known(std::vector<Row>& rows, protocol::RowVersions const& known)
{
    std::unordered_map<std::uint64_t, std::uint64_t> versions;
    auto const count = std::min(known.keys_size(), known.versions_size());
    for (int i = 0; i < count; ++i)
        versions[known.keys(i)] = known.versions(i);
    std::erase_if(rows,
                  [&](Row const& row)
                  {
                      auto const found = versions.find(key_of(row));
                      return found != versions.end() && found->second >= version_of(row);
                  });
}

} // namespace lagoonladder::control

#endif
