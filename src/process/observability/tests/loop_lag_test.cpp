#include <catch2/catch.hpp>

#include <lagoonladder/observability.hpp>

using namespace lagoonladder;

namespace
{

class recording_sink : public event_sink
{
public:
    void emit(severity, std::string name, std::vector<event_field>) override
    {
        this->names.push_back(std::move(name));
    }

    std::vector<std::string> names;
};

} // namespace

TEST_CASE("a late event loop is logged at most once a second")
{
    // Guards against late calls for which a lack of processor time cannot be distinguished from
    // a slow endpoint, and against a log that grows fastest when processor time is short.
    recording_sink events;
    observability::metrics metrics;
    manual_clock time;
    time.advance(seconds(10));
    observability::loop_lag lag(events, metrics, time, "traffic");
    lag.record(milliseconds(20), {{"open_calls", "1"}});
    CHECK(events.names.empty());
    for (int i = 0; i < 50; ++i)
    {
        lag.record(milliseconds(150), {{"open_calls", "3"}});
        time.advance(milliseconds(100));
    }
    CHECK(events.names.size() == 5);
    CHECK(events.names.front() == "traffic.loop_late");
    CHECK(metrics.expose().find("lagoonladder_traffic_loop_late_seconds_count") !=
          std::string::npos);
}
