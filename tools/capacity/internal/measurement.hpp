#ifndef LAGOONLADDER_CAPACITY_MEASUREMENT_HPP
#define LAGOONLADDER_CAPACITY_MEASUREMENT_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace lagoonladder::capacity
{

/// Median time of one call in microseconds, over `repetitions` runs of `calls` calls each.
template <class Call>
double median_microseconds(std::size_t repetitions, std::size_t calls, Call call)
{
    using steady = std::chrono::steady_clock;
    std::vector<double> times;
    for (std::size_t i = 0; i < repetitions; ++i)
    {
        auto const begin = steady::now();
        for (std::size_t j = 0; j < calls; ++j)
            call();
        std::chrono::duration<double, std::micro> const elapsed = steady::now() - begin;
        times.push_back(elapsed.count() / static_cast<double>(calls));
    }
    std::sort(times.begin(), times.end());
    return times[times.size() / 2];
}

/// Encodes rows as MessagePack.
template <class Rows>
std::string pack(Rows const& rows)
{
    std::string bytes;
    nlohmann::json::to_msgpack(nlohmann::json(rows), bytes);
    return bytes;
}

/// Decodes rows from MessagePack.
template <class Row>
std::vector<Row> unpack(std::string const& bytes)
{
    return nlohmann::json::from_msgpack(bytes).get<std::vector<Row>>();
}

/// Resident size of this process in KiB, from /proc/self/status.
std::uint64_t resident_kib();

/// Prints one line: name of the measurement, size of the case and name=value pairs.
void print_figure(std::string const& name, std::string const& size,
                  std::vector<std::pair<std::string, double>> const& values);

} // namespace lagoonladder::capacity

#endif
