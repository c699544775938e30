#include <catch2/catch.hpp>

#include "pause_detector.hpp"

using namespace lagoonladder;
using daemon::pause_detector;

TEST_CASE("a pause of the process is known at once and for a short time after it")
{
    // Guards against requests that were sent long before the end of a pause and are taken for new.
    time_point now{seconds(10)};
    pause_detector pauses(now);
    for (int i = 0; i < 20; ++i)
    {
        now += milliseconds(100);
        CHECK_FALSE(pauses.has_just_resumed(now));
        pauses.record_call(now);
    }
    now += seconds(2);
    CHECK(pauses.has_just_resumed(now));
    pauses.record_call(now);
    CHECK(pauses.has_just_resumed(now + milliseconds(500)));
    for (int i = 0; i < 12; ++i)
    {
        now += milliseconds(100);
        pauses.record_call(now);
    }
    CHECK_FALSE(pauses.has_just_resumed(now));
}
