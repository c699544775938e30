#ifndef LAGOONLADDER_VERSION_MOVE_CONTROLLER_HPP
#define LAGOONLADDER_VERSION_MOVE_CONTROLLER_HPP

#include <memory>
#include <optional>
#include <vector>

#include <lagoonladder/version/control_state.hpp>
#include <lagoonladder/version/traffic_sample.hpp>

namespace lagoonladder::version
{

/// Number of requests that a new version may get although it may be bad.
struct exposure_limit
{
    /// Fraction, 0 to 1, of the requests that the service gets during the move.
    double share = 0.1;
    /// Requests beyond this fraction.
    double requests = 50;
    /// Whether the limit holds until the end of the move, or only until the new version is shown
    /// to be as good as the old one.
    bool holds_to_end = false;
};

/// Parameters of the verdict and of the steps by which the share is raised.
struct move_settings
{
    /// Maximum probability that a move to a version as good as the old one is reversed, over
    /// all tests of the move. It holds if requests fail independently of each other.
    double error_rate = 0.01;
    /// Limit of the evidence that one interval adds, in nats. The requests that fail with one
    /// replica are not independent evidence.
    double max_interval_evidence = 3.0;
    /// Evidence, in nats, from which the share is not raised.
    double hold_threshold = 2.5;
    /// Requests of the busiest route that the new version gets during the first step.
    double first_step_requests = 10;
    double min_first_share = 0.01;
    double max_first_share = 0.2;
    exposure_limit exposure;
    /// Maximum share of a version that is not shown to be as good as the old one.
    double max_unproven_share = 0.3;
    /// Requests of each version that are needed to decide the move.
    double min_requests = 50;
    /// Time for which traffic is observed before the first step.
    duration observation_time = seconds(5);
    /// Time between two updates that only carry figures. A new leader lacks at most the
    /// samples of one such interval. Each update is sent to all daemons.
    duration report_interval = seconds(20);
    /// Time before `finish_by` that is reserved for committing the last update.
    duration commit_margin = seconds(3);
};

/// Settings for moves of a few seconds, whose exposure limit holds to the end.
move_settings make_short_move_settings(double exposure_share, double exposure_requests);

/// Requests that the new version of a move has got, by the figures of the move.
struct move_exposure
{
    double candidate_requests = 0;
    /// Requests that it may get while it may be bad, by those that the service has got so far.
    double limit = 0;
};

move_exposure exposure_of(move_record const& record);

/// Controls one running move: raises the share of the new version step by step, and
/// finishes or reverses the move. Deterministic.
///
/// Each test is a mixture of likelihood ratios over alternatives and over the second at
/// which the version became bad, so the error rate holds however often the result is
/// checked. The tests compare the failures and the fraction of slow calls of both versions
/// in the same interval, per route and pooled. Above a share of one half they also compare
/// with the earlier figures of the old version in this move.
///
/// The share is raised only as far as the exposure limit allows, unless a non-inferiority test
/// shows that the new version is as good as the old one. A lack of evidence against the new
/// version is not a reason to send it more requests.
///
/// A new controller continues from the figures in the move record. What is lost with a
/// leader are the samples since the last report, the latencies of the new version (which
/// are shown but not tested) and the time spent on holds.
class move_controller
{
public:
    explicit move_controller(move_settings const& initial_settings = {});
    ~move_controller();
    move_controller(move_controller&&) noexcept;
    move_controller& operator=(move_controller&&) noexcept;

    /// Evaluates the samples that arrived in the last interval and returns the update to
    /// propose, if any. The samples may be late or of other services. Called once a second.
    /// A record of another move resets the controller.
    std::optional<update_move> step(wall_time now, move_record const& record,
                                    service_config const& service,
                                    std::vector<traffic_sample> const& samples);

private:
    class implementation;

    move_settings settings;
    std::unique_ptr<implementation> current_move;
};

} // namespace lagoonladder::version

#endif
