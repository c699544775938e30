#include <catch2/catch.hpp>

#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <lagoonladder/base.hpp>

using namespace lagoonladder;

namespace
{

/// Time for which the machine has been suspended, in seconds; only CLOCK_BOOTTIME counts it.
time_t suspended_seconds = 0;

} // namespace

extern "C" int clock_gettime(clockid_t clock_id, timespec* time) noexcept
{
    auto const result = static_cast<int>(::syscall(SYS_clock_gettime, clock_id, time));
    if (clock_id == CLOCK_BOOTTIME)
        time->tv_sec += suspended_seconds;
    return result;
}

TEST_CASE("the monotonic clock counts the time for which the machine was suspended")
{
    // Guards against leases and confirmations that are still valid after a suspension of seconds.
    system_clock const time;
    auto const before = time.now();
    suspended_seconds = 10;
    auto const elapsed = time.now() - before;
    suspended_seconds = 0;
    CHECK(elapsed >= seconds(10));
    CHECK(elapsed < seconds(12));
}
