#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <set>

#include <lagoonladder/request.hpp>

using namespace lagoonladder;
using namespace lagoonladder::request;

namespace
{

constexpr auto interactive = request_priority::interactive;
constexpr auto draft = request_priority::draft;

time_point at(duration offset)
{
    return time_point{} + std::chrono::hours(1) + offset;
}

/// An admission queue with a clock of its own; request n has the id "r<n>".
class queue_driver
{
public:
    explicit queue_driver(admission_options options = {})
        : queue(options)
    {
    }

    admission_result offer(std::string const& account, duration timeout,
                           request_priority priority = interactive)
    {
        queued_request request;
        request.request_id = request_id("r" + std::to_string(this->offered_count++));
        request.account = account_id(account);
        request.priority = priority;
        request.deadline = this->now + timeout;
        return this->queue.offer(this->now, request);
    }

    /// Offers a request. Returns whether it was queued.
    bool try_offer(std::string const& account, duration timeout,
                   request_priority priority = interactive)
    {
        return std::holds_alternative<queue_acceptance>(this->offer(account, timeout, priority));
    }

    std::optional<queued_request> take() { return this->queue.take(this->now); }

    admission_queue queue;
    time_point now = at({});
    int offered_count = 0;
};

} // namespace

TEST_CASE("a request that cannot meet its deadline is refused at once")
{
    // Guards against a caller that waits until its deadline only to learn that the queue is too
    // long.
    queue_driver driver;
    for (int i = 0; i < 50; ++i)
        REQUIRE(driver.try_offer("a", seconds(30)));
    auto const result = driver.offer("a", seconds(2));
    REQUIRE(std::holds_alternative<queue_refusal>(result));
    auto const& refusal = std::get<queue_refusal>(result);
    CHECK(refusal.reason == refusal_reason::predicted_wait);
    // 50 requests at 10 per second; after 3.4 s the remaining wait fits into 80% of 2 s.
    CHECK(refusal.retry_after >= milliseconds(3400));
    CHECK(refusal.retry_after <= milliseconds(4250));
    CHECK(driver.try_offer("b", seconds(2)));
}

TEST_CASE("waiting requests are given up as soon as they cannot be served")
{
    // Guards against refusals that are delayed until shortly before the deadline.
    queue_driver driver;
    for (int i = 0; i < 100; ++i)
        REQUIRE(driver.try_offer("a", seconds(13)));
    CHECK(driver.queue.expire(driver.now).empty());
    // No request is served any more, as after a zone was reclaimed.
    std::size_t given_up = 0;
    for (int tenth = 0; tenth < 60; ++tenth)
    {
        driver.now += milliseconds(100);
        for (auto const& refusal : driver.queue.expire(driver.now))
        {
            ++given_up;
            CHECK(refusal.reason == refusal_reason::deadline);
            CHECK(refusal.retry_after >= seconds(1));
            CHECK(refusal.retry_after <= seconds(75));
        }
    }
    CHECK(given_up >= 99);
}

TEST_CASE("a request past its deadline is not dispatched")
{
    // Guards against slots that are spent on responses for which no caller waits.
    queue_driver driver;
    REQUIRE(driver.try_offer("a", seconds(1)));
    REQUIRE(driver.try_offer("a", seconds(9)));
    driver.now += seconds(2);
    CHECK(driver.take()->request_id == request_id("r1"));
    auto const refusals = driver.queue.expire(driver.now);
    REQUIRE(refusals.size() == 1);
    CHECK(refusals.front().request_id == request_id("r0"));
}

TEST_CASE("accounts get shares by weight")
{
    // Guards against a large account whose backlog makes small accounts wait.
    queue_driver driver;
    for (int i = 0; i < 200; ++i)
        REQUIRE(driver.try_offer("large", std::chrono::hours(1)));
    for (int i = 0; i < 20; ++i)
        REQUIRE(driver.try_offer("small", std::chrono::hours(1)));
    std::map<std::string, int> taken;
    for (int i = 0; i < 40; ++i)
        ++taken[driver.take()->account.value()];
    CHECK(taken["small"] >= 19);
    queue_driver weighted;
    for (int i = 0; i < 90; ++i)
    {
        queued_request request{request_id("x" + std::to_string(i)), account_id(i % 2 ? "a" : "b"),
                               i % 2 ? 3U : 1U, interactive, at(std::chrono::hours(1))};
        weighted.queue.offer(weighted.now, request);
    }
    taken.clear();
    for (int i = 0; i < 40; ++i)
        ++taken[weighted.take()->account.value()];
    CHECK(taken["a"] == 30);
}

TEST_CASE("an account gains nothing by being idle")
{
    // Guards against shares that accumulate while an account is idle and later block the other
    // accounts.
    queue_driver driver;
    for (int i = 0; i < 100; ++i)
        driver.offer("busy", std::chrono::hours(1));
    for (int i = 0; i < 50; ++i)
        driver.take();
    for (int i = 0; i < 20; ++i)
        driver.offer("new", std::chrono::hours(1));
    int taken = 0;
    for (int i = 0; i < 20; ++i)
        taken += driver.take()->account == account_id("new") ? 1 : 0;
    CHECK(taken >= 9);
    CHECK(taken <= 11);
}

TEST_CASE("drafts wait for interactive requests but finish")
{
    // Guards against drafts that starve while interactive requests always wait.
    queue_driver driver;
    REQUIRE(driver.try_offer("a", std::chrono::minutes(4), draft));
    std::optional<duration> draft_taken;
    for (int step = 0; step < 1000 && !draft_taken; ++step)
    {
        driver.now += milliseconds(100);
        driver.offer("a", seconds(5));
        driver.offer("b", seconds(5));
        auto const request = driver.take();
        if (request->priority == draft)
            draft_taken = driver.now - request->arrived;
    }
    REQUIRE(draft_taken);
    // A quarter of the time until its deadline.
    CHECK(*draft_taken >= seconds(60));
    CHECK(*draft_taken <= seconds(61));
}

TEST_CASE("aged drafts leave most of the work to interactive requests")
{
    // Guards against a backlog of aged drafts that blocks interactive requests.
    queue_driver driver;
    for (int i = 0; i < 200; ++i)
        driver.offer("a", std::chrono::minutes(4), draft);
    driver.now += seconds(61);
    int drafts = 0;
    for (int i = 0; i < 200; ++i)
    {
        driver.now += milliseconds(100);
        driver.offer("b", std::chrono::hours(1));
        driver.offer("b", std::chrono::hours(1));
        drafts += driver.take()->priority == draft ? 1 : 0;
    }
    CHECK(drafts >= 45);
    CHECK(drafts <= 55);
}

TEST_CASE("a full queue keeps room for small accounts and interactive requests")
{
    // Guards against one account, or drafts, that use up the bounded length.
    admission_options options;
    options.max_length = 100;
    queue_driver driver(options);
    for (int i = 0; i < 100; ++i)
        driver.offer("large", std::chrono::hours(1), draft);
    CHECK(driver.queue.size() == 50);
    for (int i = 0; i < 100; ++i)
        driver.offer("large", std::chrono::hours(1));
    CHECK(driver.queue.size() >= 80);
    auto const full = driver.offer("large", std::chrono::hours(1));
    REQUIRE(std::holds_alternative<queue_refusal>(full));
    CHECK(std::get<queue_refusal>(full).reason == refusal_reason::queue_full);
    for (auto const* account : {"small", "other", "third"})
    {
        CHECK(driver.try_offer(account, std::chrono::hours(1)));
        CHECK(driver.try_offer(account, std::chrono::hours(1), draft));
    }
    CHECK(driver.queue.expire(driver.now).empty());
    for (int i = 0; i < 500; ++i)
        driver.offer("account " + std::to_string(i), std::chrono::hours(1));
    CHECK(driver.queue.size() <= 100);
}

TEST_CASE("each request leaves the queue exactly once")
{
    // Guards against requests that are lost, answered twice, or both refused and dispatched.
    rc::prop("taken, given up, cancelled and refused are disjoint and complete",
             []
             {
                 admission_options options;
                 options.max_length = 20;
                 queue_driver driver(options);
                 seeded_random random(*rc::gen::arbitrary<std::uint64_t>());
                 std::multiset<std::string> outcomes;
                 for (int step = 0; step < 300; ++step)
                 {
                     driver.now += milliseconds(random.below(300));
                     auto const account = std::string(1, static_cast<char>('a' + random.below(3)));
                     auto const timeout = milliseconds(random.below(8000));
                     auto const result =
                         driver.offer(account, timeout, random.below(2) == 0 ? draft : interactive);
                     if (auto const* refusal = std::get_if<queue_refusal>(&result))
                         outcomes.insert(refusal->request_id.value());
                     if (auto const taken = random.below(2) == 0 ? driver.take() : std::nullopt)
                         outcomes.insert(taken->request_id.value());
                     auto const random_id =
                         request_id("r" + std::to_string(random.below(
                                              static_cast<std::uint64_t>(driver.offered_count))));
                     if (random.below(4) == 0 && driver.queue.cancel(driver.now, random_id))
                         outcomes.insert(random_id.value());
                     for (auto const& refusal : driver.queue.expire(driver.now))
                         outcomes.insert(refusal.request_id.value());
                 }
                 driver.now += std::chrono::hours(1);
                 for (auto const& refusal : driver.queue.expire(driver.now))
                     outcomes.insert(refusal.request_id.value());
                 RC_ASSERT(driver.queue.size() == 0U);
                 RC_ASSERT(outcomes.size() == static_cast<std::size_t>(driver.offered_count));
                 for (int i = 0; i < driver.offered_count; ++i)
                     RC_ASSERT(outcomes.count("r" + std::to_string(i)) == 1U);
             });
}

TEST_CASE("the measured rate follows the service")
{
    // Guards against waits that are predicted from an outdated rate.
    queue_driver driver;
    for (int i = 0; i < 1500; ++i)
        driver.offer("a", std::chrono::hours(1));
    for (int i = 0; i < 1000; ++i)
    {
        driver.now += milliseconds(40);
        driver.take();
    }
    CHECK(driver.queue.service_rate() == Approx(25).epsilon(0.05));
    for (int i = 0; i < 80; ++i)
    {
        driver.now += milliseconds(500);
        driver.take();
    }
    CHECK(driver.queue.service_rate() == Approx(2).epsilon(0.35));
}

TEST_CASE("a queue that grows over hours is reported once")
{
    // Guards against a queue that grows overnight without being reported.
    queue_driver driver;
    int reports = 0;
    std::optional<duration> first_report;
    auto const start = driver.now;
    for (int second = 0; second < 3 * 3600; ++second)
    {
        driver.now += seconds(1);
        // In the first hour 20 requests arrive and 19 are served in 20 s; later 5 are served per
        // second.
        if (second % 20 != 0 || second < 3600)
            driver.offer("a", std::chrono::hours(20), draft);
        for (int i = 0; i < (second < 3600 ? (second % 20 != 0 ? 1 : 0) : 5); ++i)
            driver.take();
        if (auto const trend = driver.queue.observe(driver.now))
        {
            ++reports;
            first_report = first_report.value_or(driver.now - start);
            CHECK(trend->rising == (reports == 1));
        }
    }
    CHECK(reports == 2);
    REQUIRE(first_report);
    CHECK(*first_report < std::chrono::minutes(10));
    // A steady load, even with a queue, is no trend.
    queue_driver steady;
    seeded_random random(7);
    for (int second = 0; second < 3600; ++second)
    {
        steady.now += seconds(1);
        auto const burst = 10 + random.below(21);
        for (std::uint64_t i = 0; i < burst; ++i)
            steady.offer("a", seconds(30));
        for (int i = 0; i < 22; ++i)
            steady.take();
        CHECK_FALSE(steady.queue.observe(steady.now));
    }
}
