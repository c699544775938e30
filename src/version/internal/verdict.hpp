#ifndef LAGOONLADDER_VERSION_VERDICT_HPP
#define LAGOONLADDER_VERSION_VERDICT_HPP

#include <lagoonladder/version/move_controller.hpp>

#include "metric_test.hpp"

namespace lagoonladder::version
{

/// Compares both versions of one move over all intervals.
class verdict
{
public:
    using figure_map = std::map<std::string, std::string>;

    verdict(move_record const& record, move_settings const& limits);

    /// Adds the samples of one interval. `share` is the share of the new version.
    void add(std::vector<traffic_sample> const& samples, double share);

    /// Whether the new version is worse at the error rate of the settings.
    bool is_bad() const;

    /// Whether there are signs of a worse version, too few for a verdict.
    bool is_suspect() const;

    /// Whether both versions had enough requests to be compared.
    bool is_decided() const;

    /// Routes on which a version had too few requests to be compared.
    std::vector<route_name> thin_routes() const;

    /// Whether so many calls of the new version have not ended that they must take far longer
    /// than those of the old one. Slow calls show in the tests only once they end.
    bool has_backlog(double share) const;

    /// Requests per second of the busiest route, by the intervals so far.
    double busiest_route_rate() const;

    /// What the strongest evidence is about, for operators.
    std::string describe() const;

    /// Figures for operators, from which a new leader continues.
    figure_map figures() const;

private:
    /// The pooled test has no route.
    struct test_key
    {
        move_metric metric;
        std::optional<route_name> route;
        friend auto operator<=>(test_key const&, test_key const&) = default;
    };

    void restore(figure_map const& stored);
    void run_test(test_key const& key, paired_counts const& interval, version_counts const& past,
                  double share);
    /// Nats above which a test reverses the version.
    double threshold() const;
    std::optional<test_key> strongest() const;
    double strongest_evidence() const;

    service_name service;
    version_name stable_version;
    version_name candidate_version;
    move_settings settings;
    std::size_t intervals = 0;
    paired_counts pooled;
    std::map<route_name, paired_counts> routes;
    std::map<test_key, metric_test> tests;
};

} // namespace lagoonladder::version

#endif
