#include <catch2/catch.hpp>

#include <lagoonladder/request.hpp>

using namespace lagoonladder;
using request::endpoint_speed;

namespace
{

constexpr time_point start{seconds(100)};
endpoint_id const first{"e1"};
endpoint_id const second{"e2"};

} // namespace

TEST_CASE("a stated time counts less the older it is and the longer the work takes")
{
    // Guards against an endpoint that is avoided, or preferred, for a state that ended long ago.
    endpoint_speed speeds;
    for (int i = 0; i < 20; ++i)
        speeds.stated(start + milliseconds(600) * i, first, 1);
    auto const now = start + seconds(12);
    speeds.stated(now, first, 3);
    auto const after = [&](duration age) { return speeds.deviation(now + age, first); };
    CHECK(after({}) == Approx(2.5));
    CHECK(after(milliseconds(300)) < 2);
    CHECK(after(seconds(3)) == Approx(1).epsilon(0.01));
    CHECK(speeds.deviation(now, first, seconds(5)) < 1.2);
    // A statement that arrives after a later one says nothing about the present.
    speeds.stated(now - milliseconds(100), first, 1);
    CHECK(after({}) == Approx(2.5));
}

TEST_CASE("a constant or unknown stated time changes nothing")
{
    // Guards against a permanent speed that counts twice, since the responses show it as well, and
    // against endpoints without the figure that are treated differently from before.
    endpoint_speed speeds;
    for (int i = 0; i < 20; ++i)
        speeds.stated(start + milliseconds(600) * i, first, 2);
    CHECK(speeds.deviation(start + seconds(12), first) == Approx(1));
    CHECK(speeds.deviation(start, second) == 1);
    speeds.expire(start + std::chrono::minutes(6));
    CHECK(speeds.size() == 0);
}

TEST_CASE("a stated time out of bounds has a bounded effect")
{
    // Guards against one wrong figure that excludes an endpoint or sends everything there.
    endpoint_speed speeds;
    speeds.stated(start, first, 1);
    speeds.stated(start, first, 1e9);
    CHECK(speeds.deviation(start, first) < 10);
    speeds.stated(start, first, 1e-9);
    CHECK(speeds.deviation(start, first) > 0);
}

TEST_CASE("an engine without a free slot costs more than any busy one")
{
    // Guards against requests that wait for a slot at an engine that has the parts of their prompt.
    using request::load_delay;
    CHECK(load_delay(0, 64, 1) < milliseconds(1));
    CHECK(load_delay(30, 64, 1) == duration(0));
    CHECK(load_delay(48, 64, 2) > load_delay(48, 64, 1));
    CHECK(load_delay(64, 64, 1) > load_delay(63, 64, 1));
    CHECK(load_delay(128, 64, 1) > seconds(4));
    CHECK(load_delay(3, 0, 1) > seconds(1));
}
