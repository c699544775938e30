#include <catch2/catch.hpp>

#include <functional>

#include <lagoonladder/request.hpp>

using namespace lagoonladder;
using namespace lagoonladder::request;

namespace
{

constexpr time_point start{seconds(100)};
service_name const service("model");

/// An entry that sends calls to ten endpoints, one of which starts five seconds after the others.
/// The others answer after 100 ms.
class started_endpoint_model
{
public:
    using answer_function = std::function<duration(duration age)>;

    explicit started_endpoint_model(double calls_per_second, answer_function answer)
        : rate(calls_per_second)
        , answer_time(std::move(answer))
    {
        for (int i = 0; i < 10; ++i)
            this->candidates.push_back({endpoint_id("e" + std::to_string(i)), false});
    }

    /// Runs until the started endpoint has the age and returns the requests that it got since the
    /// last call, relative to an equal share.
    double share_until(duration age)
    {
        auto const begin = this->now;
        std::size_t received = 0;
        for (; this->now < start + head_start + age; this->now += step)
        {
            this->observe();
            this->end_attempts();
            if (this->random.unit() < this->rate * to_seconds(step))
                received += this->send() == 0 ? 1 : 0;
        }
        auto const calls = this->rate * to_seconds(this->now - begin);
        return static_cast<double>(received) * static_cast<double>(this->candidates.size()) / calls;
    }

private:
    static constexpr duration step = milliseconds(5);
    static constexpr duration head_start = seconds(5);

    struct attempt
    {
        std::size_t endpoint;
        time_point started;
        time_point ends;
    };

    bool is_running(std::size_t endpoint) const
    {
        return endpoint > 0 || this->now >= start + head_start;
    }

    void observe()
    {
        this->pace.begin_round(this->now);
        for (std::size_t i = 0; i < this->candidates.size(); ++i)
        {
            if (this->is_running(i))
                this->pace.observe(this->now, service, {},
                                   {this->candidates[i].id, incarnation(1), 1, std::nullopt});
        }
    }

    void end_attempts()
    {
        std::erase_if(this->open,
                      [&](attempt const& ended)
                      {
                          if (ended.ends > this->now)
                              return false;
                          auto const& id = this->candidates[ended.endpoint].id;
                          this->pace.record_answer(this->now, service, id, ended.started);
                          this->pace.record_end(this->now, service, id, ended.started,
                                                attempt_end::neutral);
                          return true;
                      });
    }

    std::size_t send()
    {
        std::vector<pace_candidate> running;
        std::vector<std::size_t> indexes;
        for (std::size_t i = 0; i < this->candidates.size(); ++i)
        {
            if (!this->is_running(i))
                continue;
            running.push_back(this->candidates[i]);
            indexes.push_back(i);
        }
        auto const selected = this->pace.select(this->now, service, running, this->random);
        std::vector<std::size_t> group;
        for (std::size_t i = 0; i < running.size(); ++i)
        {
            if (selected[i])
                group.push_back(indexes[i]);
        }
        auto const chosen = group.at(this->random.below(group.size()));
        auto const answer =
            chosen == 0 ? this->answer_time(this->now - start - head_start) : milliseconds(100);
        this->pace.record_start(this->now, this->candidates[chosen].id);
        this->open.push_back({chosen, this->now, this->now + answer});
        return chosen;
    }

    double rate;
    answer_function answer_time;
    endpoint_pace pace{{true, {}}, start};
    std::vector<pace_candidate> candidates;
    std::vector<attempt> open;
    seeded_random random{11};
    time_point now = start;
};

} // namespace

TEST_CASE("an endpoint that is fast from its start soon gets its full share")
{
    // Guards against an endpoint that is idle for long after its start, also at an entry that sends
    // it few requests, and against one that gets its full share at once.
    for (double const rate : {5.0, 40.0, 160.0})
    {
        INFO(rate);
        started_endpoint_model model(rate, [](duration) { return milliseconds(100); });
        model.share_until(duration(0));
        CHECK(model.share_until(milliseconds(100)) < 0.5);
        model.share_until(seconds(2));
        CHECK(model.share_until(seconds(42)) > 0.8);
    }
}

TEST_CASE("an endpoint that is slow at first gets few requests until it is fast")
{
    // Guards against calls that are late at an engine with cold caches, and against an engine that
    // stays idle after it has become fast.
    started_endpoint_model model(80, [](duration age)
                                 { return age < seconds(5) ? seconds(2) : milliseconds(100); });
    model.share_until(duration(0));
    CHECK(model.share_until(seconds(5)) < 0.2);
    model.share_until(seconds(9));
    CHECK(model.share_until(seconds(19)) > 0.8);
}

TEST_CASE("an endpoint that never becomes fast gets few requests")
{
    // Guards against a growth by time that ignores late answers.
    started_endpoint_model model(80, [](duration) { return seconds(3); });
    model.share_until(duration(0));
    CHECK(model.share_until(seconds(60)) < 0.1);
}

namespace
{

/// Returns how often the second of two established endpoints is selected after `change`.
double selected_fraction(std::function<void(endpoint_pace&)> const& change, duration later)
{
    endpoint_pace pace({true, {}}, start);
    std::vector<pace_candidate> const both{{endpoint_id("e1"), false}, {endpoint_id("e2"), false}};
    for (auto const& candidate : both)
        pace.observe(start, service, {}, {candidate.id, incarnation(1), 1, std::nullopt});
    change(pace);
    seeded_random random{5};
    int count = 0;
    for (int i = 0; i < 400; ++i)
        count += pace.select(start + later, service, both, random)[1] ? 1 : 0;
    return count / 400.0;
}

} // namespace

TEST_CASE("refusals, failures and recoveries set the learned pace")
{
    // Guards against a flood at an endpoint that has recovered, was evacuated or has restarted, and
    // against refusals and failures that do not slow it down.
    endpoint_id const e2("e2");
    CHECK(selected_fraction([](auto&) {}, duration(0)) == 1);
    auto const restart = [&](endpoint_pace& pace) { pace.restart(start, e2); };
    CHECK(selected_fraction(restart, duration(0)) < 0.12);
    CHECK(selected_fraction(restart, seconds(2)) == 1);
    auto const recover = [&](endpoint_pace& pace)
    {
        seeded_random random{5};
        pace.select(start, service, {{e2, true}}, random);
    };
    CHECK(selected_fraction(recover, duration(0)) < 0.12);
    auto const restart_process = [&](endpoint_pace& pace) {
        pace.observe(start, service, {}, {e2, incarnation(2), 1, std::nullopt});
    };
    CHECK(selected_fraction(restart_process, duration(0)) < 0.12);
    for (auto const end : {attempt_end::refused, attempt_end::failed})
    {
        auto const fail = [&](endpoint_pace& pace)
        {
            pace.restart(start, e2);
            for (int i = 0; i < 3; ++i)
            {
                pace.record_start(start, e2);
                pace.record_end(start, service, e2, start, end);
            }
        };
        CHECK(selected_fraction(fail, seconds(2)) < 0.12);
    }
}

TEST_CASE("only the bound of cold endpoints leaves a call without an endpoint")
{
    // Guards against calls that are refused because all endpoints have just started, and against
    // calls to cold endpoints beyond their bound.
    endpoint_pace pace({true, {1.5, 5}}, start - seconds(60));
    vm_id const own("a");
    pace.set_entries({own}, own, true);
    std::vector<pace_candidate> const one{{endpoint_id("e1"), false}};
    seeded_random random{5};
    pace.observe(start, service, {6.6, seconds(3)}, {one[0].id, incarnation(1), 1, seconds(0)});
    pace.restart(start, one[0].id);
    CHECK_FALSE(pace.select(start, service, one, random)[0]);
    auto const wait = pace.time_until_room(start, one[0].id);
    CHECK(wait > duration(0));
    CHECK(wait < milliseconds(200));
    CHECK(pace.select(start + wait, service, one, random)[0]);
    pace.record_start(start + wait, one[0].id);
    CHECK_FALSE(pace.select(start + wait, service, one, random)[0]);
    CHECK(pace.select(start + seconds(3), service, one, random)[0]);
}
