#include <catch2/catch.hpp>

#include "control_fixture.hpp"

using namespace lagoonladder;
using namespace lagoonladder::control;

namespace
{

/// Events with a name in a daemon's timeline, oldest first.
std::vector<event> events_of(control_process const& process, std::string const& name)
{
    auto found = process.events.list({}, observability::event_timeline::default_capacity);
    std::erase_if(found, [&](event const& logged) { return logged.name != name; });
    return found;
}

/// Value of a metric in the text exposition format; 0 when there is none.
double metric(control_process const& process, std::string const& name)
{
    auto const text = process.metrics.expose();
    auto const line = "\nlagoonladder_" + name + " ";
    auto const found = text.find(line);
    return found == std::string::npos ? 0 : std::stod(text.substr(found + line.size()));
}

} // namespace

TEST_CASE("a delayed control thread is logged and measured")
{
    // Guards against lost leases and late commands whose cause cannot be distinguished from network
    // problems.
    small_system system;
    REQUIRE(eventually([&] { return system.loop(0).view()->ready; }));
    system.loop(0).post([] { std::this_thread::sleep_for(std::chrono::milliseconds(300)); });
    CHECK(
        eventually([&] { return !events_of(*system.processes[0], "control.loop_late").empty(); }));
    CHECK(metric(*system.processes[0], "control_loop_late_seconds_count") > 0);
}

TEST_CASE("polls of the shared state are counted and failed ones are logged once a second")
{
    // Guards against a daemon with an outdated configuration whose log does not show the cause.
    small_system system;
    system.apply(0, 0, first_text, "op-1");
    REQUIRE(eventually([&] { return is_in_force(system.loop(3), 1); }));
    auto const& reader = *system.processes[3];
    CHECK(metric(reader, "state_polls_total{outcome=\"fresh\"}") > 0);
    CHECK(
        eventually([&] { return metric(reader, "state_polls_total{outcome=\"unchanged\"}") > 0; }));
    CHECK(eventually([&] { return metric(reader, "state_index") > 0; }));
    CHECK(metric(reader, "state_index_named") == metric(reader, "state_index"));
    CHECK(metric(reader, "named_until_in_force_seconds_count") > 0);
    CHECK(metric(reader, "content_fetches_total{outcome=\"complete\"}") > 0);

    for (std::size_t i = 0; i < 3; ++i)
        system.stop(i);
    auto const start_time = std::chrono::steady_clock::now();
    auto const lines_before = events_of(reader, "state.poll_failed").size();
    auto const failed = [&]
    {
        return metric(reader, "state_polls_total{outcome=\"unavailable\"}") +
               metric(reader, "state_polls_total{outcome=\"timed_out\"}");
    };
    auto const failed_before = failed();
    std::this_thread::sleep_for(std::chrono::milliseconds(2'500));
    CHECK(eventually([&] { return failed() > failed_before + 3; }));
    auto const lines = events_of(reader, "state.poll_failed");
    auto const elapsed = std::chrono::steady_clock::now() - start_time;
    REQUIRE(lines.size() > lines_before);
    CHECK(lines.size() - lines_before <=
          static_cast<std::size_t>(elapsed / std::chrono::seconds(1)) + 1);
    CHECK(lines.back().fields[0].key == "voter");
    CHECK(lines.back().fields[2].key == "last_good_age_ms");
    CHECK(lines.back().fields[2].value != "never");
}

TEST_CASE("a leader logs commands that are not committed in time")
{
    // Guards against a lost quorum that only the operator notices.
    small_system system;
    system.apply(0, 0, first_text, "op-1");
    REQUIRE(eventually([&] { return system.loop(0).view()->quorum_recent; }));
    auto const leader_of = [&]
    {
        auto const leader_address = network_address(system.loop(0).view()->leader);
        auto const found =
            std::find(system.addresses.begin(), system.addresses.end(), leader_address);
        return static_cast<std::size_t>(found - system.addresses.begin());
    };
    REQUIRE(eventually([&] { return leader_of() < 3; }));
    auto const leader = leader_of();
    for (std::size_t i = 0; i < 3; ++i)
    {
        if (i != leader)
            system.stop(i);
    }
    CHECK(propose_and_wait(system.loop(leader), version::reserve_orders{1, 1}, milliseconds(200))
              .status == proposal_status::unknown);
    auto const& process = *system.processes[leader];
    CHECK(eventually([&] { return !events_of(process, "consensus.proposal_expired").empty(); }));
    CHECK(metric(process, "commands_given_up_total{outcome=\"unknown\"}") == 1);
    CHECK(metric(process, "command_seconds_count{outcome=\"unknown\"}") == 1);
    CHECK(metric(process, "consensus_calls_total{outcome=\"answered\"}") > 0);
}

TEST_CASE("a leader logs large commands that are committed")
{
    // Guards against a slow configuration change for which only the total time of its parts is
    // known.
    small_system system;
    REQUIRE(eventually([&] { return system.loop(3).view()->ready; }));
    version::content_part part;
    part.digest = version::content_digest("x");
    part.total = 2 * version::max_content_part_bytes;
    part.bytes = std::string(version::max_content_part_bytes, 'x');
    commit_and_wait(system.loop(3), version::store_content_part{part}, seconds(10));
    std::size_t lines = 0;
    for (auto const& process : system.processes)
        lines += events_of(*process, "consensus.large_command_committed").size();
    CHECK(lines >= 1);
    CHECK(metric(*system.processes[3], "command_seconds_count{outcome=\"committed\"}") > 0);
}
