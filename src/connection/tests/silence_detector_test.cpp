#include <catch2/catch.hpp>

#include "test_records.hpp"

using namespace lagoonladder;
using namespace lagoonladder::connection;

TEST_CASE("a connection without a byte for the timeout is silent")
{
    // Guards against an attempt that waits forever on a connection that stays open.
    silence_detector detector;
    auto const first = connection_id(1);
    auto const second = connection_id(2);
    detector.start(at({}), first);
    detector.start(at({}), second, milliseconds(500));
    CHECK(detector.next_expiry() == at(milliseconds(500)));
    CHECK(detector.expire(at(milliseconds(500))).silent == std::vector{second});
    CHECK_FALSE(detector.progress(at(milliseconds(500)), second));
    CHECK(detector.progress(at(milliseconds(1900)), first));
    CHECK(detector.expire(at(milliseconds(3899))).silent.empty());
    CHECK(detector.expire(at(milliseconds(3900))).silent == std::vector{first});
    CHECK(detector.size() == 0);
    CHECK_FALSE(detector.next_expiry());
}

TEST_CASE("idle pooled connections are closed")
{
    // Guards against reuse of a pooled connection that stopped delivering bytes long ago.
    silence_detector detector;
    auto const id = connection_id(1);
    CHECK_FALSE(detector.pool(at({}), id));
    detector.start(at({}), id);
    CHECK_FALSE(detector.is_reusable(at({}), id));
    CHECK(detector.pool(at(seconds(1)), id));
    CHECK_FALSE(detector.progress(at(seconds(2)), id));
    CHECK(detector.is_reusable(at(milliseconds(10999)), id));
    CHECK_FALSE(detector.is_reusable(at(seconds(11)), id));
    auto const expired = detector.expire(at(seconds(11)));
    CHECK(expired.idle == std::vector{id});
    CHECK(expired.silent.empty());
}
