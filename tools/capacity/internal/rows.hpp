#ifndef LAGOONLADDER_CAPACITY_ROWS_HPP
#define LAGOONLADDER_CAPACITY_ROWS_HPP

#include <string>

#include <lagoonladder/connection.hpp>
#include <lagoonladder/request.hpp>

namespace lagoonladder::capacity
{

/// Data centres of the target size.
inline constexpr std::size_t data_centre_count = 11;

connection::entry_record make_entry(std::size_t number);
connection::endpoint_record make_endpoint(std::size_t number);
request::route_candidate make_candidate(std::size_t number, random_source& random);

/// Configuration text with a model engine, route and account for each service.
std::string make_configuration(std::size_t services, std::size_t change);

/// An at-most-once call with a 200-byte answer.
request::at_most_once_begin make_begin(std::size_t number, wall_time now);
request::at_most_once_finish make_finish(std::size_t number);

/// Time after which no value is taken for "never".
inline time_point start_time()
{
    return time_point{} + std::chrono::hours(1);
}

inline wall_time start_wall_time()
{
    return wall_time(std::chrono::hours(24 * 365 * 56));
}

} // namespace lagoonladder::capacity

#endif
