#ifndef LAGOONLADDER_VERSION_MOVE_CONTROLLER_HPP
#define LAGOONLADDER_VERSION_MOVE_CONTROLLER_HPP

#include <memory>
#include <optional>
#include <vector>

#include <lagoonladder/version/control_state.hpp>
#include <lagoonladder/version/traffic_sample.hpp>

namespace lagoonladder::version
{

/// Limits of the verdict and of the share steps.
struct move_settings
{
    /// Probability that a version as good as the old one is reversed, over all
    /// tests of a move. It holds for independent requests.
    double error_rate = 0.01;
    /// Evidence of one interval is cut here, in nats. A replica that dies takes
    /// several requests with it, which are not independent evidence.
    double max_interval_evidence = 3.0;
    /// Evidence, in nats, above which the share is not raised.
    double hold_threshold = 2.5;
    /// Requests of one route that the first step sends to the new version.
    double first_step_requests = 10;
    double min_first_share = 0.01;
    double max_first_share = 0.2;
    /// Requests of each version without which the move is undecided.
    double min_requests = 50;
    /// How long traffic is observed before the first step.
    duration observation_time = seconds(5);
    /// Time between two updates that only carry figures. A new leader loses at
    /// most the samples of this span. Each update goes to all daemons.
    duration report_interval = seconds(20);
    /// Reserved before finish_by for the commit of the last update.
    duration commit_margin = seconds(3);
};

/// Controls one running move. Deterministic.
///
/// Each test is a mixture of likelihood ratios over alternatives and over the
/// second at which the version became bad, so that the error rate holds
/// however often it is looked at. The tests compare failures and the share of
/// slow calls of both versions in the same interval, per route and pooled; above
/// a share of one half also with the old version's own figures of this move.
///
/// A new controller continues from the figures in the move record. Lost with a
/// leader are the samples since the last report, the latencies of the new
/// version (only shown, not tested) and the time spent on holds.
class move_controller
{
public:
    explicit move_controller(move_settings const& limits = {});
    ~move_controller();
    move_controller(move_controller&&) noexcept;
    move_controller& operator=(move_controller&&) noexcept;

    /// Takes the samples that arrived in the last interval, late ones and those of
    /// other services included, and returns the change to propose. Called once a second. A record
    /// of another move starts afresh.
    std::optional<update_move> step(wall_time now, move_record const& record,
                                    service_config const& service,
                                    std::vector<traffic_sample> const& samples);

private:
    class implementation;

    move_settings settings;
    std::unique_ptr<implementation> current;
};

} // namespace lagoonladder::version

#endif
