#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <lagoonladder/request.hpp>

using namespace lagoonladder;
using namespace lagoonladder::request;

namespace
{

constexpr time_point start(seconds(1'000));
constexpr std::uint64_t common = 1;
constexpr std::uint64_t deadly = 2;

prompt_parts prompt_of(std::uint64_t shared, std::uint64_t last)
{
    return {{common, 100}, {shared, 100}, {last, 100}};
}

/// A crash that began at `begin` ms and took 100 ms.
engine_crash crash_at(int begin, char const* reporter, char const* engine)
{
    auto const sent_at = start + milliseconds(begin);
    return {vm_id(reporter), static_cast<std::uint64_t>(begin), endpoint_id(engine), sent_at,
            sent_at + milliseconds(100)};
}

/// Records a crash on the deadly part as the entry that saw it does.
void record(prompt_quarantine& quarantine, engine_crash const& crash, std::uint64_t last = 50)
{
    quarantine.merge(crash.ended_at, quarantine.evidence_of(crash, prompt_of(deadly, last)));
}

quarantine_verdict check(prompt_quarantine& quarantine, time_point now, prompt_parts const& prompt,
                         bool may_probe = false)
{
    return quarantine.check(now, prompt, [&](std::uint64_t) { return may_probe; });
}

void crash_three_engines(prompt_quarantine& quarantine)
{
    record(quarantine, crash_at(0, "a", "e1"));
    record(quarantine, crash_at(200, "b", "e2"));
    record(quarantine, crash_at(400, "c", "e3"));
}

} // namespace

TEST_CASE("a part that crashes engines one after another is refused, and its neighbours are not")
{
    // Guards against requests of one kind that crash one engine after another.
    prompt_quarantine quarantine;
    quarantine.record_answer(start, prompt_of(3, 60));
    record(quarantine, crash_at(0, "a", "e1"));
    record(quarantine, crash_at(200, "b", "e2"));
    auto const now = start + milliseconds(600);
    CHECK(check(quarantine, now, prompt_of(deadly, 51)) == quarantine_verdict::allowed);
    record(quarantine, crash_at(400, "c", "e3"));
    CHECK(check(quarantine, now, prompt_of(deadly, 51)) == quarantine_verdict::refused);
    // The common part was answered with another one.
    CHECK(check(quarantine, now, prompt_of(3, 52)) == quarantine_verdict::allowed);
    CHECK(check(quarantine, now, prompt_of(4, 53)) == quarantine_verdict::allowed);
}

TEST_CASE(
    "of several suspected parts the last one is quarantined, and the others when that is wrong")
{
    // Guards against sound prompts that are refused because they share a rare part with those that
    // crash engines, and against a part that is never refused because another one stands behind it.
    prompt_quarantine quarantine;
    crash_three_engines(quarantine);
    auto const now = start + seconds(2);
    CHECK(quarantine.is_quarantined(now, deadly));
    CHECK_FALSE(quarantine.is_quarantined(now, common));
    for (int i = 0; i < 3; ++i)
    {
        auto const crash = crash_at(600 + 200 * i, i % 2 ? "a" : "b", i % 2 ? "e1" : "e2");
        auto const other_part = static_cast<std::uint64_t>(10 + i);
        quarantine.merge(crash.ended_at, quarantine.evidence_of(crash, prompt_of(other_part, 60)));
    }
    CHECK(quarantine.is_quarantined(now, common));
}

TEST_CASE("the last part of a prompt is never suspected")
{
    // Guards against a table that each request fills with a part of its own.
    prompt_quarantine quarantine;
    prompt_parts const prompt{{50, 100}};
    CHECK(quarantine.evidence_of(crash_at(0, "a", "e1"), prompt).empty());
    CHECK(quarantine.evidence_of(crash_at(0, "a", "e1"), {}).empty());
}

TEST_CASE("engines that end at the same time raise no suspicion beyond one crash")
{
    // Guards against sound prompts that are refused after a zone was reclaimed.
    prompt_quarantine quarantine;
    for (int i = 0; i < 8; ++i)
    {
        auto const engine = "e" + std::to_string(i);
        auto crash = crash_at(10 * i, i % 2 ? "a" : "b", engine.c_str());
        crash.ended_at = start + milliseconds(100 + i);
        record(quarantine, crash);
    }
    CHECK_FALSE(quarantine.is_quarantined(start + seconds(1), deadly));
    CHECK_FALSE(quarantine.is_suspected(start + seconds(1), prompt_of(deadly, 51)));
}

TEST_CASE("reports that took unequal times count as crashes one after another")
{
    // Guards against an entry that passes on a part which the others refuse, because a report of
    // the crash came later than that of the repeat, which began right after it.
    prompt_quarantine quarantine;
    auto late_report = crash_at(0, "a", "e1");
    late_report.sent_at += milliseconds(25);
    late_report.ended_at += milliseconds(25);
    record(quarantine, late_report);
    record(quarantine, crash_at(101, "a", "e2"));
    record(quarantine, crash_at(400, "b", "e3"));
    CHECK(quarantine.is_quarantined(start + seconds(1), deadly));
}

TEST_CASE("a report that comes again sooner corrects the times of a crash")
{
    // Guards against entries that differ for good after one of them was slow to receive a report.
    prompt_quarantine quarantine;
    auto late_report = crash_at(0, "a", "e1");
    late_report.sent_at += milliseconds(150);
    late_report.ended_at += milliseconds(150);
    record(quarantine, late_report);
    record(quarantine, crash_at(101, "a", "e2"));
    record(quarantine, crash_at(400, "b", "e3"));
    auto const now = start + seconds(1);
    CHECK_FALSE(quarantine.is_quarantined(now, deadly));
    quarantine.merge(now, {{deadly, {{crash_at(0, "a", "e1"), 1}}, std::nullopt}});
    CHECK(quarantine.is_quarantined(now, deadly));
}

TEST_CASE("one engine that ends again and again raises no suspicion of a part")
{
    // Guards against sound prompts that are refused because of one faulty engine.
    prompt_quarantine quarantine;
    for (int i = 0; i < 6; ++i)
        record(quarantine, crash_at(200 * i, i % 2 ? "a" : "b", "e1"));
    CHECK_FALSE(quarantine.is_quarantined(start + seconds(2), deadly));
}

TEST_CASE("an entry that is cut off from the engines needs more evidence than several entries")
{
    // Guards against sound prompts that are refused because the links of one entry fail.
    prompt_quarantine quarantine;
    for (int i = 0; i < 4; ++i)
        record(quarantine, crash_at(200 * i, "a", i % 2 ? "e1" : "e2"));
    CHECK_FALSE(quarantine.is_quarantined(start + seconds(1), deadly));
    record(quarantine, crash_at(800, "a", "e1"));
    CHECK(quarantine.is_quarantined(start + seconds(1), deadly));
}

TEST_CASE("a complete answer clears a part at all entries")
{
    // Guards against a sound part that stays refused, or is suspected anew by evidence that arrives
    // after the answer.
    prompt_quarantine quarantine;
    crash_three_engines(quarantine);
    auto const evidence = quarantine.take_evidence(start + milliseconds(500), 100);
    auto const cleared = quarantine.record_answer(start + milliseconds(600), prompt_of(deadly, 51));
    CHECK(cleared.size() == 2);
    CHECK_FALSE(quarantine.is_quarantined(start + milliseconds(600), deadly));
    quarantine.merge(start + milliseconds(700), evidence);
    CHECK_FALSE(quarantine.is_quarantined(start + milliseconds(700), deadly));

    prompt_quarantine other;
    other.merge(start + milliseconds(700), evidence);
    CHECK(other.is_quarantined(start + milliseconds(700), deadly));
    other.merge(start + milliseconds(700), cleared);
    CHECK_FALSE(other.is_quarantined(start + milliseconds(700), deadly));
}

TEST_CASE("evidence of others is answered with the time of a complete answer")
{
    // Guards against an entry that knows a part to be sound while the others refuse it.
    prompt_quarantine suspicious;
    crash_three_engines(suspicious);
    prompt_quarantine informed;
    informed.record_answer(start + milliseconds(50), prompt_of(deadly, 51));
    informed.merge(start + seconds(1), suspicious.take_evidence(start + seconds(1), 100));
    suspicious.merge(start + seconds(1), informed.take_evidence(start + seconds(1), 100));
    CHECK_FALSE(suspicious.is_quarantined(start + seconds(1), deadly));
}

TEST_CASE("a quarantined part is tried by one call at a time, and forgotten in the end")
{
    // Guards against a part that is refused for ever, and against many calls that try it at once.
    prompt_quarantine quarantine;
    prompt_quarantine_options const options;
    quarantine.record_answer(start, prompt_of(3, 60));
    crash_three_engines(quarantine);
    auto const prompt = prompt_of(deadly, 51);
    auto const probe_time = start + milliseconds(500) + options.probe_interval;
    CHECK(check(quarantine, probe_time - milliseconds(1), prompt, true) ==
          quarantine_verdict::refused);
    CHECK(check(quarantine, probe_time, prompt, false) == quarantine_verdict::refused);
    CHECK(check(quarantine, probe_time, prompt, true) == quarantine_verdict::probe);
    CHECK(check(quarantine, probe_time, prompt, true) == quarantine_verdict::refused);
    auto const forgotten = start + milliseconds(500) + options.crash_retention;
    CHECK(check(quarantine, forgotten, prompt, false) == quarantine_verdict::allowed);
    CHECK(quarantine.take_evidence(forgotten, 100).empty());
}

TEST_CASE("a prompt is not repeated after two engines crashed on it one after another")
{
    // Guards against a repeat that crashes one more engine before there is a verdict.
    prompt_quarantine quarantine;
    record(quarantine, crash_at(0, "a", "e1"));
    CHECK_FALSE(quarantine.is_suspected(start + milliseconds(100), prompt_of(deadly, 51)));
    record(quarantine, crash_at(200, "a", "e2"));
    CHECK(quarantine.is_suspected(start + milliseconds(300), prompt_of(deadly, 51)));
}

TEST_CASE("entries come to the same verdict whatever order the evidence arrives in")
{
    // Guards against entries that refuse a part for good which others pass on.
    rc::prop(
        "the verdict does not depend on order or repetition",
        []
        {
            std::vector<part_evidence> evidence;
            auto const count = *rc::gen::inRange(1, 8);
            for (int i = 0; i < count; ++i)
            {
                auto const begin = *rc::gen::inRange(0, 60'000);
                if (*rc::gen::inRange(0, 4) == 0)
                {
                    evidence.push_back({deadly, {}, start + milliseconds(begin)});
                    continue;
                }
                auto const reporter = *rc::gen::elementOf(std::vector<char const*>{"a", "b"});
                auto const engine = *rc::gen::elementOf(std::vector<char const*>{"e1", "e2", "e3"});
                evidence.push_back({deadly, {{crash_at(begin, reporter, engine), 1}}, {}});
            }
            auto const order = [&]
            {
                auto mixed = evidence;
                for (std::size_t i = mixed.size(); i > 1; --i)
                    std::swap(mixed[i - 1], mixed[*rc::gen::inRange<std::size_t>(0, i)]);
                mixed.push_back(mixed[*rc::gen::inRange<std::size_t>(0, mixed.size())]);
                return mixed;
            };
            prompt_quarantine first;
            prompt_quarantine second;
            auto const now = start + seconds(70);
            first.merge(now, order());
            for (auto const& item : order())
                second.merge(now, {item});
            RC_ASSERT(first.is_quarantined(now, deadly) == second.is_quarantined(now, deadly));
        });
}

TEST_CASE("the tables of parts stay bounded")
{
    // Guards against callers that use up the memory of an entry with parts of their own.
    prompt_quarantine quarantine;
    prompt_quarantine_options const options;
    crash_three_engines(quarantine);
    for (std::uint64_t part = 100; part < 100 + 3 * options.max_suspected_parts; ++part)
    {
        auto crash = crash_at(1'000, "a", "e1");
        crash.number = part;
        quarantine.merge(start + seconds(2), quarantine.evidence_of(crash, prompt_of(part, 9)));
    }
    quarantine.take_evidence(start + seconds(2), 100);
    CHECK(quarantine.suspected_parts() <= options.max_suspected_parts);
    CHECK(quarantine.is_quarantined(start + seconds(2), deadly));
    for (std::uint64_t part = 10'000; part < 10'000 + 3 * options.max_answered_parts; ++part)
        quarantine.record_answer(start + seconds(2) + duration(part), prompt_of(part, 9));
    CHECK(quarantine.answered_parts() <= options.max_answered_parts);
}
