#ifndef LAGOONLADDER_CONTROL_TRAFFIC_COUNTER_HPP
#define LAGOONLADDER_CONTROL_TRAFFIC_COUNTER_HPP

#include <map>
#include <mutex>
#include <tuple>
#include <vector>

#include <lagoonladder/version.hpp>

namespace lagoonladder::control
{

/// Sums the traffic of an interval per service, version and route. Thread-safe.
class traffic_counter
{
public:
    void add(version::traffic_sample const& sample);

    /// Returns the sums and starts a new interval.
    std::vector<version::traffic_sample> take();

private:
    using traffic_key = std::tuple<service_name, version_name, route_name>;

    std::mutex mutex;
    std::map<traffic_key, version::traffic_sample> sums;
};

} // namespace lagoonladder::control

#endif
