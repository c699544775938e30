#include <cmath>

#include <catch2/catch.hpp>

#include <lagoonladder/version.hpp>

#include "scenario.hpp"

using namespace lagoonladder;
using namespace lagoonladder::version;

namespace
{

constexpr int move_seconds = 15;
constexpr double exposure_share = 0.1;
constexpr double exposure_requests = 50;

/// How calls to one version end.
struct version_behavior
{
    double failure_rate = 0;
    double slowdown = 1;
    /// Part of the calls that are slower.
    double slow_part = 1;
};

/// A move of 15 s of a plain service, on entries that report once a second.
struct move_scenario
{
    /// Requests per second of the service.
    double rate = 29;
    version_behavior stable{0.01, 1};
    version_behavior candidate{0.01, 1};
    /// Behavior of the candidate from second `changes_at` on, or on the first route only.
    version_behavior changed{0.01, 1};
    int changes_at = move_seconds;
    bool changes_on_one_route = false;
    int route_count = 2;
    /// Calls of every version on the last route end at its timeout.
    bool has_timeout_route = false;
    /// Seconds without a leader; the samples of this time are lost.
    int leader_lost_at = move_seconds;
    int leader_gap = 0;
};

class exposure_run
{
public:
    exposure_run(move_scenario const& scenario_of_run, std::uint64_t seed)
        : scenario(scenario_of_run)
        , random(seed)
        , settings(make_short_move_settings(exposure_share, exposure_requests))
        , controller(this->settings)
    {
        this->service.watch = seconds(move_seconds) / 4;
        this->record.service = service_name("s");
        this->record.from = version_name("old");
        this->record.to = version_name("new");
        this->record.started = this->now;
        this->record.finish_by = this->now + seconds(move_seconds);
        this->record.generation = generation(2);
    }

    void run()
    {
        for (int second = 0; second < move_seconds; ++second)
        {
            auto const samples = this->run_second(second);
            this->now += seconds(1);
            bool const has_leader =
                second < this->scenario.leader_lost_at ||
                second >= this->scenario.leader_lost_at + this->scenario.leader_gap;
            if (!has_leader)
                this->controller = move_controller(this->settings);
            else if (this->record.state == move_state::running)
                this->update(
                    this->controller.step(this->now, this->record, this->service, samples));
        }
    }

    /// Requests that the candidate may get if it is bad.
    double allowed() const
    {
        return exposure_share *
                   static_cast<double>(this->sent_to_stable + this->sent_to_candidate) +
               exposure_requests;
    }

    move_record record;
    std::uint64_t sent_to_candidate = 0;
    std::uint64_t sent_to_stable = 0;

private:
    void update(std::optional<update_move> const& change)
    {
        if (!change)
            return;
        this->record.share = change->state == move_state::reversed ? 0 : change->share;
        this->record.state = change->state;
        this->record.reason = change->reason;
        this->record.figures = change->figures;
        if (change->share >= 1 && !this->record.full_since)
            this->record.full_since = this->now;
    }

    std::vector<traffic_sample> run_second(int second)
    {
        // An entry learns of a new share some 300 ms after the leader has decided it.
        auto const share = this->effective_share;
        this->effective_share = this->record.share;
        std::vector<traffic_sample> samples;
        for (bool const is_candidate : {false, true})
        {
            for (int route = 0; route < this->scenario.route_count; ++route)
                samples.push_back(this->run_route(second, route, is_candidate, share));
        }
        return samples;
    }

    traffic_sample run_route(int second, int route, bool is_candidate, double share)
    {
        auto const delayed_share = 0.3 * share + 0.7 * this->effective_share;
        auto const version_share = is_candidate ? delayed_share : 1 - delayed_share;
        auto const count = study::draw_poisson(
            this->random, this->scenario.rate / this->scenario.route_count * version_share);
        (is_candidate ? this->sent_to_candidate : this->sent_to_stable) += count;
        bool const is_changed = is_candidate && second >= this->scenario.changes_at &&
                                (!this->scenario.changes_on_one_route || route == 0);
        auto behavior = is_candidate ? this->scenario.candidate : this->scenario.stable;
        if (is_changed)
            behavior = this->scenario.changed;
        traffic_sample sample;
        sample.service = service_name("s");
        sample.version = version_name(is_candidate ? "new" : "old");
        sample.route = route_name("route-" + std::to_string(route));
        sample.requests = count;
        sample.sent = count;
        bool const is_timeout_route =
            this->scenario.has_timeout_route && route + 1 == this->scenario.route_count;
        for (std::uint32_t i = 0; i < count; ++i)
        {
            bool const is_failed = is_timeout_route || this->random.unit() < behavior.failure_rate;
            sample.failures += is_failed ? 1 : 0;
            if (is_timeout_route)
            {
                sample.whole_call.add(milliseconds(400));
                continue;
            }
            bool const is_slow = behavior.slowdown > 1 && this->random.unit() < behavior.slow_part;
            auto const work = 0.06 * std::exp(0.5 * study::draw_normal(this->random));
            sample.whole_call.add(from_seconds(0.007 + work * (is_slow ? behavior.slowdown : 1)));
        }
        return sample;
    }

    move_scenario scenario;
    seeded_random random;
    move_settings settings;
    service_config service;
    wall_time now{std::chrono::hours(24 * 20000)};
    move_controller controller;
    double effective_share = 0;
};

/// Returns the number of runs, of 40, in which a bad version got more requests than allowed or
/// was given all of the traffic.
int count_exposed(move_scenario const& scenario)
{
    int exposed = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        exposure_run run(scenario, seed);
        run.run();
        bool const is_exposed = run.record.state == move_state::finished ||
                                static_cast<double>(run.sent_to_candidate) > run.allowed();
        if (is_exposed)
            UNSCOPED_INFO("seed " << seed << ": " << run.sent_to_candidate << " requests, "
                                  << run.allowed() << " allowed; " << run.record.reason);
        exposed += is_exposed ? 1 : 0;
    }
    return exposed;
}

int count_finished(move_scenario const& scenario)
{
    int finished = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        exposure_run run(scenario, seed);
        run.run();
        if (run.record.state == move_state::finished)
            ++finished;
        else
            UNSCOPED_INFO("seed " << seed << ": " << run.record.reason);
    }
    return finished;
}

} // namespace

TEST_CASE("a bad version of a plain service gets no more requests than allowed")
{
    // Guards against a share that is raised by plan while the figures cannot tell yet whether
    // the new version is bad.
    move_scenario failing;
    failing.candidate = {0.5, 1};
    CHECK(count_exposed(failing) == 0);
    move_scenario slow;
    slow.candidate = {0.01, 3};
    CHECK(count_exposed(slow) == 0);
    move_scenario many_routes = slow;
    many_routes.route_count = 8;
    CHECK(count_exposed(many_routes) == 0);
    // Calls that time out with every version must not hide that half of the other ones are slow.
    move_scenario partly_slow;
    partly_slow.candidate = {0.01, 4, 0.5};
    partly_slow.route_count = 3;
    partly_slow.has_timeout_route = true;
    CHECK(count_exposed(partly_slow) == 0);
    move_scenario busy = failing;
    busy.rate = 300;
    CHECK(count_exposed(busy) == 0);
}

TEST_CASE("a bad version gets no more requests than allowed while the old version fails too")
{
    // Guards against failures of the old version that hide those of the new one.
    move_scenario failing;
    failing.stable = {0.18, 1};
    failing.candidate = {0.5, 1};
    CHECK(count_exposed(failing) == 0);
    move_scenario slow;
    slow.stable = {0.18, 1};
    slow.candidate = {0.18, 3};
    CHECK(count_exposed(slow) == 0);
}

TEST_CASE("a version that is bad later or on one route gets no more requests than allowed")
{
    // Guards against a good start that earns a bad version more traffic than it may get.
    move_scenario later;
    later.changed = {0.5, 1};
    for (int const second : {4, 8, 11})
    {
        later.changes_at = second;
        INFO("bad from second " << second);
        CHECK(count_exposed(later) == 0);
    }
    move_scenario on_one_route;
    on_one_route.changed = {0.6, 1};
    on_one_route.changes_at = 0;
    on_one_route.changes_on_one_route = true;
    CHECK(count_exposed(on_one_route) == 0);
}

TEST_CASE("a bad version gets no more requests than allowed although the leader is lost")
{
    // Guards against requests that a new leader does not count because its predecessor's samples
    // are lost.
    move_scenario scenario;
    scenario.candidate = {0.5, 1};
    scenario.leader_gap = 4;
    for (int const second : {2, 5, 9})
    {
        scenario.leader_lost_at = second;
        INFO("no leader from second " << second);
        CHECK(count_exposed(scenario) == 0);
    }
}

TEST_CASE("a good version of a plain service finishes within a short move")
{
    // Guards against a limit on requests that keeps good versions from finishing in time.
    CHECK(count_finished({}) >= 38);
    move_scenario busy;
    busy.rate = 300;
    CHECK(count_finished(busy) >= 38);
    move_scenario many_routes;
    many_routes.route_count = 8;
    CHECK(count_finished(many_routes) >= 38);
    // Routes on which every version fails some of the calls, such as look-ups of unknown items.
    move_scenario failing_routes;
    failing_routes.stable = failing_routes.candidate = failing_routes.changed = {0.15, 1};
    CHECK(count_finished(failing_routes) >= 38);
    move_scenario quiet;
    quiet.rate = 12;
    CHECK(count_finished(quiet) >= 38);
}
