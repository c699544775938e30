#include <catch2/catch.hpp>

#include <cmath>
#include <set>

#include <lagoonladder/request.hpp>

using namespace lagoonladder;
using request::prompt_backlog;
using request::prompt_backlog_options;
using request::prompt_parts;

namespace
{

endpoint_id const first_engine("e1");
incarnation const first_incarnation(1);
time_point const start{seconds(100)};

prompt_backlog_options test_options()
{
    prompt_backlog_options options;
    options.tokens_per_second = 10'000;
    options.cache_tokens = 50'000;
    return options;
}

} // namespace

TEST_CASE("only a prefix of a prompt counts as cached")
{
    // Guards against parts that count as cached behind a part that is not.
    prompt_backlog backlog(test_options());
    backlog.sent(start, first_engine, first_incarnation, {{1, 1000}, {2, 500}, {3, 10}});
    CHECK(backlog.uncached_tokens(first_engine, {{1, 1000}, {2, 500}, {4, 20}}) == 20);
    CHECK(backlog.uncached_tokens(first_engine, {{1, 1000}, {5, 700}, {2, 500}}) == 1200);
    CHECK(backlog.uncached_tokens(endpoint_id("other"), {{1, 1000}, {4, 20}}) == 1020);
}

TEST_CASE("prompts that were sent delay the next one until they are prefilled")
{
    // Guards against an engine that counts as idle while it prefills earlier prompts.
    prompt_backlog backlog(test_options());
    backlog.sent(start, first_engine, first_incarnation, {{1, 10'000}});
    CHECK(backlog.prefill_time(start, first_engine, {{2, 5'000}}) == milliseconds(1500));
    CHECK(backlog.prefill_time(start + milliseconds(400), first_engine, {{2, 5'000}}) ==
          milliseconds(1100));
    CHECK(backlog.prefill_time(start + seconds(9), first_engine, {{2, 5'000}}) ==
          milliseconds(500));
}

TEST_CASE("a first token shows that the earlier prompts were prefilled")
{
    // Guards against an engine that counts as busy although its response shows that it is faster
    // than assumed.
    prompt_backlog backlog(test_options());
    auto const sent = backlog.sent(start, first_engine, first_incarnation, {{1, 2'000}});
    backlog.sent(start, first_engine, first_incarnation, {{2, 1'000}});
    backlog.first_token_received(start + milliseconds(50), first_engine, first_incarnation, sent);
    CHECK(backlog.prefill_time(start + milliseconds(50), first_engine, {}) == milliseconds(100));
}

TEST_CASE("a slow engine is recognised by its responses")
{
    // Guards against prompts that are sent to an engine which prefills at a fifth of the speed.
    prompt_backlog backlog(test_options());
    auto now = start;
    for (int i = 0; i < 10; ++i)
    {
        auto const sent = backlog.sent(now, first_engine, first_incarnation,
                                       {{static_cast<std::uint64_t>(i), 10'000}});
        now += seconds(5);
        backlog.first_token_received(now, first_engine, first_incarnation, sent);
    }
    CHECK(backlog.prefill_time(now, first_engine, {{99, 10'000}}) >= seconds(4));
}

TEST_CASE("a restarted engine has nothing cached")
{
    // Guards against prompts that are sent to an engine for parts that it lost in a restart.
    prompt_backlog backlog(test_options());
    auto const old = backlog.sent(start, first_engine, first_incarnation, {{1, 1000}});
    backlog.sent(start, first_engine, incarnation(2), {{2, 10}});
    CHECK(backlog.uncached_tokens(first_engine, {{1, 1000}}) == 1000);
    // A response that belongs to the earlier start of the engine changes nothing.
    backlog.first_token_received(start + seconds(1), first_engine, first_incarnation, old);
    CHECK(backlog.uncached_tokens(first_engine, {{2, 10}}) == 0);
}

TEST_CASE("parts that were not used for a long time count as evicted")
{
    // Guards against prompts that are sent to an engine for parts that it has evicted.
    prompt_backlog backlog(test_options());
    backlog.sent(start, first_engine, first_incarnation, {{1, 1000}});
    for (std::uint64_t i = 0; i < 60; ++i)
        backlog.sent(start, first_engine, first_incarnation, {{100 + i, 1000}});
    CHECK(backlog.uncached_tokens(first_engine, {{1, 1000}}) == 1000);
    CHECK(backlog.uncached_tokens(first_engine, {{159, 1000}}) == 0);
}

namespace
{

/// Returns the engine at which the prompt has the lowest cost.
std::string cheapest_engine(prompt_backlog const& backlog, std::vector<endpoint_id> const& engines,
                            prompt_parts const& prompt)
{
    auto const costs = backlog.placement_costs(start, engines, prompt);
    auto const min_cost = std::min_element(costs.begin(), costs.end());
    return engines[static_cast<std::size_t>(min_cost - costs.begin())].value();
}

} // namespace

TEST_CASE("a shared part is prefilled again only when that saves much time")
{
    // Guards against busy engines that each prefill every shared part and become even busier: at 36
    // prompts per second, five engines sent the first token later than 1 s for 40% of the long
    // prompts.
    prompt_backlog backlog(test_options());
    std::vector<endpoint_id> const engines{first_engine, endpoint_id("e2")};
    backlog.sent(start, first_engine, first_incarnation, {{1, 5'000}});
    backlog.sent(start, first_engine, first_incarnation, {{2, 10'000}});
    CHECK(cheapest_engine(backlog, engines, {{1, 5'000}, {3, 100}}) == "e1");
    backlog.sent(start, first_engine, first_incarnation, {{4, 15'000}});
    CHECK(cheapest_engine(backlog, engines, {{1, 5'000}, {3, 100}}) == "e2");
}

TEST_CASE("entries without a notice of a shared part choose the same engine")
{
    // Guards against a shared part that each entry sends to a different engine while notices of
    // prompts are lost.
    std::vector<endpoint_id> engines;
    for (int i = 0; i < 6; ++i)
        engines.push_back(endpoint_id("e" + std::to_string(i)));
    std::set<std::string> chosen;
    for (std::uint64_t part = 1; part <= 50; ++part)
    {
        prompt_backlog first(test_options());
        prompt_backlog second(test_options());
        // Small differences of the load do not change the choice.
        second.sent(start, engines[part % 6], first_incarnation, {{1'000 + part, 300}});
        auto const engine = cheapest_engine(first, engines, {{part, 8'000}, {500, 100}});
        CHECK(engine == cheapest_engine(second, engines, {{part, 8'000}, {501, 100}}));
        chosen.insert(engine);
    }
    CHECK(chosen.size() == engines.size());
}

TEST_CASE("a wrong prompt size stated by a caller does not block an engine for others")
{
    // Guards against a stated size of 2^63 tokens, after which the engine counts as busy until its
    // state is dropped, and the estimated time exceeds the range of its type.
    prompt_backlog backlog(test_options());
    std::vector<endpoint_id> const engines{first_engine, endpoint_id("e2")};
    prompt_parts const forged{{1, std::uint64_t(1) << 63}, {2, std::uint64_t(1) << 63}};
    for (auto const cost : backlog.placement_costs(start, engines, forged))
    {
        CHECK(cost >= duration(0));
        CHECK(cost <= std::chrono::minutes(1));
    }
    backlog.sent(start, first_engine, first_incarnation, forged);
    // No prompt takes longer than the prefill of a full cache.
    auto const max_time = seconds(5);
    CHECK(backlog.prefill_time(start, first_engine, {{3, 100}}) <= max_time + milliseconds(10));
}

TEST_CASE("many small parts do not exhaust the memory")
{
    // Guards against callers that make the table of parts grow without bound.
    for (std::uint64_t const tokens : {0, 1})
    {
        prompt_backlog backlog(test_options());
        std::uint64_t hash = 0;
        for (int i = 0; i < 100; ++i)
        {
            prompt_parts prompt;
            for (int part = 0; part < 500; ++part)
                prompt.push_back({++hash, tokens});
            backlog.sent(start, first_engine, first_incarnation, prompt);
        }
        CHECK(backlog.part_count() <= 5'000);
    }
}

namespace
{

/// Engines that prefill one prompt after the other and cache all parts.
class model_engines
{
public:
    static constexpr double tokens_per_second = 44'000;

    explicit model_engines(std::size_t count)
        : free_at(count, start)
        , cached(count)
    {
    }

    /// Returns the time from sending to the end of the prefill.
    duration prefill(time_point now, std::size_t engine, prompt_parts const& prompt)
    {
        double tokens = 0;
        bool is_cached = true;
        for (auto const& part : prompt)
        {
            is_cached = is_cached && this->cached[engine].contains(part.hash);
            tokens += is_cached ? 0 : static_cast<double>(part.tokens);
            this->cached[engine].insert(part.hash);
        }
        this->free_at[engine] =
            std::max(this->free_at[engine], now) + from_seconds(tokens / tokens_per_second);
        return this->free_at[engine] - now;
    }

private:
    std::vector<time_point> free_at;
    std::vector<std::set<std::uint64_t>> cached;
};

/// Returns a prompt that begins with one of 73 shared parts, drawn at random. `number` identifies
/// the part that belongs to this prompt only.
prompt_parts make_long_prompt(std::uint64_t number, random_source& random)
{
    // Sizes whose logarithm is uniformly distributed: the largest prompts are several times larger
    // than the mean.
    auto const size = [](double mean, double spread, double uniform_sample)
    {
        auto const deviation = std::sqrt(12.0) * (uniform_sample - 0.5);
        return static_cast<std::uint64_t>(mean *
                                          std::exp(spread * deviation - spread * spread / 2));
    };
    auto const shared_part = 1 + random.below(73);
    // The seed gives each shared part the same size in all prompts.
    seeded_random shared_part_random(shared_part);
    return {{shared_part, size(13'300, 0.7, shared_part_random.unit())},
            {1'000 + number, size(3'720, 1.1, random.unit())}};
}

/// Returns the fraction of the prompts whose prefill ends more than 650 ms after sending. Eight
/// long prompts per second arrive for fifteen seconds at engines with empty caches, as after a
/// start or after engines were reclaimed.
template <class Choose>
double late_share(std::uint64_t seed, std::size_t engines, Choose choose)
{
    seeded_random random(seed);
    model_engines model(engines);
    std::size_t late = 0;
    std::size_t count = 0;
    for (auto now = start; now < start + seconds(15);)
    {
        now += from_seconds(-std::log(1 - random.unit()) / 8);
        auto const prompt = make_long_prompt(++count, random);
        auto const delay = model.prefill(now, choose(now, prompt, random), prompt);
        late += delay > milliseconds(650) ? 1 : 0;
    }
    return static_cast<double>(late) / static_cast<double>(count);
}

} // namespace

TEST_CASE("long prompts of a cold start wait less than with one engine for each shared part")
{
    // Guards against long prompts that queue at one engine while others are idle.
    constexpr std::size_t engines = 6;
    double by_backlog = 0;
    double by_shared_part = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        prompt_backlog backlog;
        by_backlog += late_share(
            seed, engines,
            [&](time_point now, prompt_parts const& prompt, random_source&)
            {
                std::vector<endpoint_id> ids;
                for (std::size_t i = 0; i < engines; ++i)
                    ids.push_back(endpoint_id(std::to_string(i)));
                auto const costs = backlog.placement_costs(now, ids, prompt);
                auto const min_cost = std::min_element(costs.begin(), costs.end());
                auto const best = static_cast<std::size_t>(min_cost - costs.begin());
                backlog.sent(now, endpoint_id(std::to_string(best)), first_incarnation, prompt);
                return best;
            });
        by_shared_part +=
            late_share(seed, engines,
                       [](time_point, prompt_parts const& prompt, random_source&)
                       { return stable_hash(std::to_string(prompt[0].hash)) % engines; });
    }
    INFO("late by backlog " << by_backlog / 20 << ", by shared part " << by_shared_part / 20);
    CHECK(by_backlog <= 0.5 * by_shared_part);
}
