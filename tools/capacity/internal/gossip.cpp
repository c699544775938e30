#include "measurement.hpp"
#include "rows.hpp"
#include "sections.hpp"

namespace lagoonladder::capacity
{

namespace
{

/// Returns copies of the rows with heartbeat or sequence increased by `increment`.
template <class Row>
std::vector<Row> advance_rows(std::vector<Row> rows, std::uint64_t increment)
{
    for (auto& row : rows)
    {
        if constexpr (std::is_same_v<Row, connection::entry_record>)
            row.heartbeat = heartbeat_count(row.heartbeat.value() + increment);
        else
            row.sequence += increment;
    }
    return rows;
}

/// Returns the time in microseconds to decode and merge a digest in which every row is newer.
template <class Row, class Directory>
double merge_time(Directory& directory, std::vector<Row> const& rows)
{
    constexpr std::size_t repetitions = 9;
    std::vector<std::string> digests;
    for (std::size_t i = 1; i <= repetitions; ++i)
        digests.push_back(pack(advance_rows(rows, i)));
    std::size_t next = 0;
    return median_microseconds(
        repetitions, 1,
        [&] { directory.merge(start_time() + seconds(1), unpack<Row>(digests[next++])); });
}

void measure_entries(std::size_t count)
{
    connection::entry_directory directory(make_entry(0));
    for (std::size_t i = 1; i < count; ++i)
        directory.merge(start_time(), make_entry(i));
    auto const rows = directory.digest(start_time());
    auto const bytes = pack(rows).size();
    auto const encode_time =
        median_microseconds(9, 10, [&] { pack(directory.digest(start_time())); });
    print_figure("gossip.entries", std::to_string(count) + " rows",
                 {{"bytes", bytes},
                  {"bytes_per_row", static_cast<double>(bytes) / static_cast<double>(count)},
                  {"encode_us", encode_time},
                  {"merge_us", merge_time(directory, rows)}});
}

void measure_endpoints(std::size_t count)
{
    connection::endpoint_directory directory;
    for (std::size_t i = 0; i < count; ++i)
        directory.merge(start_time(), make_endpoint(i));
    auto const rows = directory.changed_since(start_time(), 0);
    auto const bytes = pack(rows).size();
    auto const encode_time =
        median_microseconds(9, 10, [&] { pack(directory.changed_since(start_time(), 0)); });
    auto const version = directory.version();
    auto const unchanged_time =
        median_microseconds(9, 10, [&] { pack(directory.changed_since(start_time(), version)); });
    print_figure(
        "gossip.endpoints", std::to_string(count) + " changed rows",
        {{"bytes", bytes},
         {"bytes_per_row", static_cast<double>(bytes) / static_cast<double>(count)},
         {"encode_us", encode_time},
         {"merge_us", merge_time(directory, rows)},
         {"unchanged_us", unchanged_time},
         {"live_copy_us", median_microseconds(9, 10, [&] { directory.live(start_time()); })}});
}

/// Measures the size of rows that hold only the fields that change every second. The gossip
/// protocol does not use such rows; docs/CAPACITY.md compares them with the complete rows.
void measure_short_rows(std::size_t count)
{
    auto entries = nlohmann::json::array();
    auto endpoints = nlohmann::json::array();
    for (std::size_t i = 0; i < count; ++i)
    {
        auto const entry = make_entry(i);
        entries.push_back({entry.vm, entry.incarnation, entry.heartbeat});
        auto const endpoint = make_endpoint(i);
        endpoints.push_back({endpoint.id, endpoint.incarnation, endpoint.sequence,
                             endpoint.load.running, endpoint.load.waiting});
    }
    auto const per_row = [&](nlohmann::json const& rows)
    { return static_cast<double>(pack(rows).size()) / static_cast<double>(count); };
    print_figure("gossip.short_rows", std::to_string(count) + " rows",
                 {{"entry_bytes_per_row", per_row(entries)},
                  {"endpoint_bytes_per_row", per_row(endpoints)},
                  {"encode_endpoints_us", median_microseconds(9, 10, [&] { pack(endpoints); })}});
}

} // namespace

void measure_gossip()
{
    for (std::size_t const count : {10, 50, 150, 350})
        measure_entries(count);
    for (std::size_t const count : {13, 256, 1900})
        measure_endpoints(count);
    for (std::size_t const count : {16, 32, 350})
        measure_short_rows(count);
}

} // namespace lagoonladder::capacity
