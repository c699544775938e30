#include <cmath>

#include <catch2/catch.hpp>

#include <lagoonladder/base.hpp>

#include "sequential_test.hpp"
#include "version_counts.hpp"

using namespace lagoonladder;
using namespace lagoonladder::version;

TEST_CASE("equal versions rarely exceed the evidence of the error rate")
{
    // Guards against reversing good versions because the test is evaluated every second.
    seeded_random random(20261204);
    int exceeded = 0;
    for (int run = 0; run < 2000; ++run)
    {
        restart_mixture mixture(2);
        double highest = 0;
        for (int second = 0; second < 300; ++second)
        {
            event_count candidate{0, 4};
            event_count stable{0, 12};
            for (int i = 0; i < 16; ++i)
                (i < 4 ? candidate : stable).events += random.unit() < 0.05 ? 1 : 0;
            mixture.open_interval();
            mixture.add(0, concurrent_evidence(candidate, stable, 1, 4), 50);
            mixture.add(1, concurrent_evidence(candidate, stable, 1, 20), 50);
            highest = std::max(highest, mixture.log_value());
        }
        exceeded += highest >= std::log(1 / 0.05) ? 1 : 0;
    }
    // Ville's inequality allows 5% of 2000.
    CHECK(exceeded <= 100);
    CHECK(exceeded > 0);
}

TEST_CASE("a fault that starts late is found")
{
    // Guards against a fault that is hidden by the evidence of a good start.
    restart_mixture mixture(1);
    for (int second = 0; second < 600; ++second)
    {
        mixture.open_interval();
        mixture.add(0, concurrent_evidence({0, 10}, {1, 10}, 1.5, 20), 2);
    }
    CHECK(mixture.log_value() < 0);
    int needed = 0;
    for (; needed < 100 && mixture.log_value() < 10; ++needed)
    {
        mixture.open_interval();
        mixture.add(0, concurrent_evidence({5, 10}, {0, 10}, 1.5, 20), 2);
    }
    CHECK(needed < 15);
}

TEST_CASE("a disturbance of both versions is not evidence")
{
    // Guards against reversing a good version because of a failure that affects both versions.
    CHECK(concurrent_evidence({5, 10}, {50, 100}, 1.5, 4) < 0);
    CHECK(concurrent_evidence({5, 10}, {0, 0}, 1.5, 4) == 0);
    CHECK(concurrent_evidence({5, 10}, {5, 100}, 1.5, 4) > 0);
}

TEST_CASE("the tail of a histogram is interpolated within a bucket")
{
    // Guards against a test that does not detect slowdowns smaller than the width of a bucket.
    latency_histogram histogram;
    histogram.counts[5] = 100;
    CHECK(tail_fraction(histogram, 5, 1) == 0);
    CHECK(tail_fraction(histogram, 4, 1) == 1);
    CHECK(tail_fraction(histogram, 5, std::sqrt(2.0)) == Approx(0.5));
}
