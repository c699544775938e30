#include <catch2/catch.hpp>

#include <lagoonladder/version/engine_need.hpp>

using namespace lagoonladder;
using namespace lagoonladder::version;

namespace
{

constexpr std::uint32_t slots = 64;

/// Callers and engines of a system of which each entry has an equal part.
struct system_model
{
    std::size_t entries = 30;
    double prompts_per_second = 200;
    double prompt_tokens = 8'000;
    double output_tokens = 300;
    double cached_fraction = 0.6;
    double tokens_per_second = 50'000;
    double running_per_prompt = 4;
    /// Entries of an earlier release, which state no work.
    std::size_t silent_entries = 0;

    double prefill() const
    {
        return this->prompts_per_second * this->prompt_tokens * (1 - this->cached_fraction) /
               this->tokens_per_second;
    }

    engine_need need() const
    {
        auto const part = 1.0 / static_cast<double>(this->entries);
        entry_load load;
        load.demand = this->prompts_per_second * (this->prompt_tokens + this->output_tokens) * part;
        load.work = engine_work{
            this->prefill() * part, this->prompts_per_second * part,
            static_cast<std::uint32_t>(this->running_per_prompt * this->prompts_per_second * part)};
        std::vector<entry_load> loads(this->entries, load);
        for (std::size_t i = 0; i < this->silent_entries; ++i)
            loads[i].work.reset();
        return find_engine_need(loads, slots);
    }
};

} // namespace

TEST_CASE("engines follow what they have cached")
{
    // Guards against engines for tokens that no engine reads.
    system_model none_cached;
    none_cached.cached_fraction = 0;
    CHECK(none_cached.need().basis == need_basis::prefill);
    CHECK(none_cached.need().engines ==
          Approx(none_cached.prefill() / engine_need_options().prefill_utilisation));
    system_model half_cached;
    half_cached.cached_fraction = 0.5;
    CHECK(half_cached.need().engines == Approx(none_cached.need().engines / 2));
    // Requests still take slots when nothing is prefilled.
    system_model all_cached;
    all_cached.cached_fraction = 1;
    auto const need = all_cached.need();
    CHECK(need.engines >= all_cached.running_per_prompt * all_cached.prompts_per_second / slots);
    CHECK(need.engines >= need.by_constant / 3);
    CHECK(need.engines < half_cached.need().engines);
}

TEST_CASE("engines at half speed are doubled and bursts are followed at once")
{
    // Guards against a plan that ignores how fast the engines are, or lags behind the demand.
    system_model usual;
    system_model slow;
    slow.tokens_per_second /= 2;
    CHECK(slow.need().engines == Approx(2 * usual.need().engines));
    system_model burst;
    burst.prompts_per_second *= 1.7;
    CHECK(burst.need().engines == Approx(1.7 * usual.need().engines));
    peak_engine_need peak;
    CHECK(peak.add(time_point(), usual.need()).engines == usual.need().engines);
    CHECK(peak.add(time_point(seconds(1)), burst.need()).engines == burst.need().engines);
    CHECK(peak.add(time_point(seconds(11)), usual.need()).engines == burst.need().engines);
    CHECK(peak.add(time_point(seconds(12)), usual.need()).engines == usual.need().engines);
}

TEST_CASE("long answers need slots")
{
    // Guards against engines without free slots when prompts are short and answers long.
    system_model system;
    system.running_per_prompt = 16;
    auto const need = system.need();
    CHECK(need.basis == need_basis::running);
    CHECK(need.engines * slots * engine_need_options().slot_utilisation ==
          Approx(system.running_per_prompt * system.prompts_per_second).epsilon(0.01));
}

TEST_CASE("the constant counts for entries without a measurement")
{
    // Guards against demand of earlier releases that no engine is ordered for.
    system_model system;
    system.silent_entries = system.entries / 2;
    auto const full = system_model().need();
    CHECK(system.need().engines == Approx((full.engines + full.by_constant) / 2).epsilon(0.01));
    system.silent_entries = system.entries;
    CHECK(system.need().engines == system.need().by_constant);
    CHECK(system.need().basis == need_basis::constant);
}

TEST_CASE("a measurement of few prompts or far from the constant is limited")
{
    // Guards against orders by one prompt, and by a measurement that is wrong.
    system_model quiet;
    quiet.prompts_per_second = 1.9;
    CHECK(quiet.need().engines == quiet.need().by_constant);
    system_model stuck;
    stuck.tokens_per_second = 1'000;
    CHECK(stuck.need().engines == Approx(3 * stuck.need().by_constant));
    CHECK(stuck.need().basis == need_basis::limit);
    system_model idle;
    idle.cached_fraction = 1;
    idle.running_per_prompt = 0;
    CHECK(idle.need().engines == Approx(idle.need().by_constant / 3));
}
