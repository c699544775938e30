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

/// Encodes rows as a MessagePack array for a digest.
template <class Row>
std::string pack_rows(std::vector<Row> const& rows)
{
    std::string bytes;
    nlohmann::json::to_msgpack(nlohmann::json(rows), bytes);
    return bytes;
}

/// Decodes the rows of a digest. An unreadable row is skipped and logged, so that it doesn't
/// keep the others from spreading.
template <class Row>
std::vector<Row> unpack_rows(std::string const& bytes, std::string const& from, event_sink& events)
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

/// Encodes one row as an item of a digest's MessagePack array.
template <class Row>
std::string pack_row(Row const& row)
{
    std::string bytes;
    nlohmann::json::to_msgpack(nlohmann::json(row), bytes);
    return bytes;
}

/// Fills a digest with leaving marks and flags it as carrying leaving rows only.
void add_marks(connection::mark_message const& message, protocol::Digest& digest);

/// Key of a row, for one incarnation, in a digest's list of known versions.
std::uint64_t row_key(connection::endpoint_record const& row);
std::uint64_t row_key(connection::entry_record const& row);

/// Version of a row; it grows with each change that other daemons should receive.
std::uint64_t row_version(connection::endpoint_record const& row);
std::uint64_t row_version(connection::entry_record const& row);

/// Appends the keys and versions of rows to a digest's list.
template <class Row>
void add_versions(std::vector<Row> const& rows, protocol::RowVersions& out)
{
    for (auto const& row : rows)
    {
        out.add_keys(row_key(row));
        out.add_versions(row_version(row));
    }
}

/// Removes the rows of which the other daemon has the same or a newer version.
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
                      auto const found = versions.find(row_key(row));
                      return found != versions.end() && found->second >= row_version(row);
                  });
}

} // namespace lagoonladder::control

#endif
