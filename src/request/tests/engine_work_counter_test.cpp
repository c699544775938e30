#include <catch2/catch.hpp>

#include <lagoonladder/request/engine_work_counter.hpp>

using namespace lagoonladder;

namespace
{

service_name const service("llm");
endpoint_id const engine("e1");

} // namespace

TEST_CASE("the work of an entry follows the prompts that it sends")
{
    // Guards against work that is counted at another rate than it is given, or never ends.
    request::engine_work_counter counter;
    time_point now(seconds(100));
    for (int i = 0; i < 300; ++i, now += milliseconds(100))
        counter.prompt_sent(now, service, milliseconds(50));
    auto const work = counter.work(now)[service];
    CHECK(work.prefill == Approx(0.5).epsilon(0.05));
    CHECK(work.prompts == Approx(10).epsilon(0.05));
    CHECK(counter.work(now + seconds(30))[service].prefill < 0.001);
    counter.request_started(service);
    counter.request_started(service);
    counter.request_ended(service);
    CHECK(counter.work(now)[service].running == 1);
}

TEST_CASE("the prefill work of a prompt counts uncached tokens at the speed of the engine")
{
    // Guards against work for parts that the engine has cached, and at the speed of another engine.
    request::prompt_backlog backlog;
    time_point now(seconds(100));
    auto const work = [&](request::prompt_parts const& prompt)
    { return to_seconds(request::prefill_work(backlog, now, engine, prompt)); };
    CHECK(work({{1, 40'000}, {2, 4'000}}) == Approx(1.1));
    backlog.sent(now, engine, incarnation(1), {{1, 40'000}, {2, 4'000}});
    CHECK(work({{1, 40'000}, {3, 4'000}}) == Approx(0.1));
    CHECK(work({{1, 40'000}, {2, 4'000}}) == 0);
    for (std::uint64_t i = 0; i < 50; ++i)
    {
        now += seconds(10);
        auto const sent = backlog.sent(now, engine, incarnation(1), {{100 + i, 40'000}});
        backlog.first_token_received(now + seconds(2), engine, incarnation(1), sent);
    }
    CHECK(work({{99, 40'000}}) == Approx(2).epsilon(0.05));
}
