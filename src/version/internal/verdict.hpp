#ifndef LAGOONLADDER_VERSION_VERDICT_HPP
#define LAGOONLADDER_VERSION_VERDICT_HPP

#include <lagoonladder/version/move_controller.hpp>

#include "exposure_budget.hpp"
#include "metric_test.hpp"
#include "non_inferiority_test.hpp"

namespace lagoonladder::version
{

/// Compares both versions of a move over all intervals so far.
class verdict
{
public:
    using figure_map = std::map<std::string, std::string>;

    verdict(move_record const& record, move_settings const& initial_settings);

    /// Adds the samples of one interval. `share` is the share of the new version in it.
    void add(std::vector<traffic_sample> const& samples, double share);

    /// Whether the new version is found to be worse, at the error rate of the settings.
    bool is_worse() const;

    /// Whether there is evidence of a worse version, perhaps too little to reverse the move.
    bool is_suspect() const;

    /// Whether the recent calls of the new version show that it is as good as the old one on all
    /// routes together, and do not show that it is worse on a route with much of the traffic.
    bool is_shown_as_good() const;

    /// Describes the comparisons in which the new version is not shown to be as good.
    std::string describe_unshown() const;

    /// Whether both versions had enough requests to be compared.
    bool has_enough_requests() const;

    /// Routes on which a version had too few requests to be compared.
    std::vector<route_name> undersampled_routes() const;

    /// Whether the new version has so many open calls that they must take far longer than those
    /// of the old one. The tests count a slow call only when it has ended.
    bool has_backlog(double share) const;

    /// Requests that were sent to either version, including those that have not ended.
    sent_requests sent() const;

    /// Adds requests that were sent without being observed.
    void add_unobserved(sent_requests const& requests);

    /// Mean requests per second of the busiest route over the intervals so far.
    double busiest_route_rate() const;

    /// Describes the metric with the strongest evidence, for operators.
    std::string describe() const;

    /// Figures for operators. The verdict of a new leader continues from them.
    figure_map figures() const;

private:
    /// Identifies a test. The test over all routes pooled has no route.
    struct test_key
    {
        move_metric metric;
        std::optional<route_name> route;
        friend auto operator<=>(test_key const&, test_key const&) = default;
    };

    void restore(figure_map const& stored);
    /// Returns the test whose figure has this name; no value for another figure.
    static std::optional<test_key> find_key(std::string const& figure, std::string const& prefix,
                                            move_metric metric);
    void run_test(test_key const& key, paired_counts const& interval,
                  version_counts const& earlier_counts, double share);
    void run_non_inferiority_tests(std::map<route_name, paired_counts> const& interval);
    /// Returns the comparisons in which a new version has to be shown to be as good.
    std::vector<test_key> required_comparisons() const;
    bool is_shown_as_good(test_key const& key) const;
    non_inferiority_test& comparison(test_key const& key);
    /// Evidence, in nats, from which a test reverses the move.
    double threshold() const;
    std::optional<test_key> strongest_test() const;
    double strongest_evidence() const;

    service_name service;
    version_name stable_version;
    version_name candidate_version;
    move_settings settings;
    std::size_t intervals = 0;
    paired_counts pooled;
    std::map<route_name, paired_counts> routes;
    std::map<test_key, metric_test> tests;
    std::map<test_key, non_inferiority_test> non_inferiority_tests;
};

} // namespace lagoonladder::version

#endif
