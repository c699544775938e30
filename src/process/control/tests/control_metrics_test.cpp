#include <catch2/catch.hpp>

#include "control_fixture.hpp"

using namespace lagoonladder;
using namespace lagoonladder::control;

namespace
{

/// Events of one name in the timeline of a daemon, oldest first.
std::vector<event> events_of(control_process const& process, std::string const& name)
{
    auto found = process.events.list({}, observability::event_timeline::default_capacity);
    std::erase_if(found, [&](event const& one) { return one.name != name; });
    return found;
}

/// Value of one line of the text exposition format; 0 when there is none.
double metric(control_process const& process, std::string const& name)
{
    auto const text = process.metrics.expose();
    auto const line = "\nlagoonladder_" + name + " ";
    auto const found = text.find(line);
    return found == std::string::npos ? 0 : std::stod(text.substr(found + line.size()));
}

} // namespace

TEST_CASE("a control thread that is held up shows in the log")
{
    // Guards against lost leases and late commands whose cause cannot be told from the network.
    small_system system;
    REQUIRE(eventually([&] { return system.loop(0).view()->ready; }));
    system.loop(0).post([] { std::this_thread::sleep_for(std::chrono::milliseconds(300)); });
    CHECK(
        eventually([&] { return !events_of(*system.processes[0], "control.loop_late").empty(); }));
    CHECK(metric(*system.processes[0], "control_loop_late_seconds_count") > 0);
}
