#include <cstdio>
#include <exception>

#include <tclap/CmdLine.h>

#include <overnight_run.hpp>
#include <placement_run.hpp>
#include <plain_run.hpp>
#include <routing_run.hpp>

namespace
{

using namespace lagoonladder::study;
using lagoonladder::milliseconds;

void add(routing_results& total, routing_results const& run_results)
{
    total.offered += run_results.offered;
    total.in_time += run_results.in_time;
    total.late += run_results.late;
    total.refused += run_results.refused;
    total.given_up += run_results.given_up;
    total.recomputed_tokens += run_results.recomputed_tokens;
    total.first_token.add_all(run_results.first_token);
    total.queue_age.add_all(run_results.queue_age);
}

void print_row(char const* name, routing_results const& total)
{
    auto const offered = static_cast<double>(total.offered);
    auto const share = [&](std::uint64_t count)
    { return 100 * static_cast<double>(count) / offered; };
    std::printf("| %s | %.2f | %.2f | %.2f | %.2f | %.3f | %.3f | %.2f | %.2f | %.0f |\n", name,
                share(total.in_time), share(total.late), share(total.refused),
                share(total.given_up), total.first_token.quantile(0.5),
                total.first_token.quantile(0.95), total.queue_age.quantile(0.95),
                total.queue_age.quantile(1), total.recomputed_tokens / offered);
}

void compare_policies(routing_scenario const& scenario, std::uint64_t seeds, std::uint64_t seed)
{
    std::printf("\n%s\n\n", scenario.name.c_str());
    std::printf("| policy | in time %% | late %% | refused %% | given up %% | first token median s "
                "| 95th s | queue age 95th s | longest s | recomputed tokens per request |\n");
    std::printf("|---|---|---|---|---|---|---|---|---|---|\n");
    for (auto const policy : {compared_policy::balanced, compared_policy::round_robin,
                              compared_policy::least_reported_load})
    {
        routing_results total;
        for (std::uint64_t i = 0; i < seeds; ++i)
            add(total, routing_run(scenario, policy, seed + i).run());
        print_row(to_string(policy), total);
    }
}

void compare_placements(placement_scenario const& scenario, std::uint64_t seeds, std::uint64_t seed)
{
    std::printf("\n%s\n\n", scenario.name.c_str());
    std::printf("| placement | long prompts late %% | mean to first token s | tokens prefilled per "
                "prompt | over 0.63 s %% |\n|---|---|---|---|---|\n");
    for (auto const policy :
         {placement::two_choices, placement::by_shared_part, placement::own_backlog,
          placement::shared_backlog, placement::partial_backlog})
    {
        placement_results total;
        for (std::uint64_t i = 0; i < seeds; ++i)
        {
            auto const run_results = placement_run(scenario, policy, seed + i).run();
            total.long_prompts += run_results.long_prompts;
            total.late_long_prompts += run_results.late_long_prompts;
            total.late_prompts += run_results.late_prompts;
            total.prompts += run_results.prompts;
            total.seconds_to_first_token += run_results.seconds_to_first_token;
            total.prefilled_tokens += run_results.prefilled_tokens;
        }
        auto const prompts = static_cast<double>(total.prompts);
        std::printf("| %s | %.2f | %.3f | %.0f | %.2f |\n", to_string(policy),
                    100 * static_cast<double>(total.late_long_prompts) /
                        static_cast<double>(total.long_prompts),
                    total.seconds_to_first_token / prompts, total.prefilled_tokens / prompts,
                    100 * static_cast<double>(total.late_prompts) / prompts);
    }
}

placement_scenario six_engines(std::string name)
{
    placement_scenario scenario;
    scenario.name = std::move(name);
    return scenario;
}

void study_placement(std::uint64_t seeds, std::uint64_t seed)
{
    compare_placements(six_engines("Six engines"), seeds, seed);
    auto busy_scenario = six_engines("Five engines, 36 prompts a second");
    busy_scenario.engines = 5;
    busy_scenario.prompts_per_second = 36;
    compare_placements(busy_scenario, seeds, seed);
    auto lost_scenario = six_engines("Two of six engines lost");
    lost_scenario.lost_engines = 2;
    compare_placements(lost_scenario, seeds, seed);
    auto slow_scenario = six_engines("One of six engines slow");
    slow_scenario.slow_engines = 1;
    compare_placements(slow_scenario, seeds, seed);
    for (auto const delay : {100, 500})
    {
        lost_scenario.name =
            "Two of six engines lost, notices after " + std::to_string(delay) + " ms";
        lost_scenario.notice_delay = milliseconds(delay);
        compare_placements(lost_scenario, seeds, seed);
    }
}

/// A system ten times as large as the Permits Office: 86 entries and 90 engines at 322 prompts per
/// second.
placement_scenario large_system(std::string name, std::size_t receivers)
{
    placement_scenario scenario;
    scenario.name = std::move(name);
    scenario.engines = 90;
    scenario.prompts_per_second = 322;
    scenario.entries = 86;
    scenario.subject_factor = 10;
    scenario.receivers = receivers;
    scenario.tolerance = milliseconds(15);
    // Each of the 90 engines runs about 14 requests.
    scenario.decoding = {lagoonladder::seconds(4), 0.01, 64};
    return scenario;
}

/// Runs the scenarios of a large system with the same delivery of notices. `notices` describes it
/// in the names of the scenarios.
void study_large_system_notices(std::string const& notices, std::size_t receivers,
                                double lost_notice_fraction, std::uint64_t seeds,
                                std::uint64_t seed)
{
    auto scenario = large_system("90 engines, " + notices, receivers);
    scenario.lost_notice_fraction = lost_notice_fraction;
    compare_placements(scenario, seeds, seed);
    auto restart_scenario = scenario;
    restart_scenario.name = "22 of 90 engines restart, " + notices;
    restart_scenario.restarted_engines = 22;
    compare_placements(restart_scenario, seeds, seed);
    auto lost_scenario = scenario;
    lost_scenario.name = "30 of 90 engines lost, " + notices;
    lost_scenario.lost_engines = 30;
    compare_placements(lost_scenario, seeds, seed);
}

void study_large_system_placement(std::uint64_t seeds, std::uint64_t seed)
{
    study_large_system_notices("notices to all entries", 85, 0, seeds, seed);
    study_large_system_notices("notices to 32 of 85 entries", 32, 0, seeds, seed);
    study_large_system_notices("notices to 32 of 85 entries of which nine in ten are lost", 32, 0.9,
                               seeds, seed);
    study_large_system_notices("no notices arrive", 32, 1, seeds, seed);
}

void compare_uneven_placements(placement_scenario const& scenario, std::uint64_t seeds,
                               std::uint64_t seed)
{
    std::printf("\n%s\n\n", scenario.name.c_str());
    std::printf("| placement | over 0.63 s %% | over 1 s %% | to first token median s | 99th s | "
                "decoding mean s | 99th s | tokens prefilled per prompt |\n"
                "|---|---|---|---|---|---|---|---|\n");
    for (auto const policy :
         {placement::partial_backlog, placement::stated_speed, placement::stated_speed_and_load})
    {
        sample_set first_token;
        sample_set decoding;
        double prefilled = 0;
        double prompts = 0;
        for (std::uint64_t i = 0; i < seeds; ++i)
        {
            auto const run_results = placement_run(scenario, policy, seed + i).run();
            first_token.add_all(run_results.to_first_token);
            decoding.add_all(run_results.decoding);
            prefilled += run_results.prefilled_tokens;
            prompts += static_cast<double>(run_results.prompts);
        }
        std::printf("| %s | %.2f | %.2f | %.3f | %.3f | %.2f | %.2f | %.0f |\n", to_string(policy),
                    100 * first_token.share_above(0.63), 100 * first_token.share_above(1),
                    first_token.quantile(0.5), first_token.quantile(0.99), decoding.mean(),
                    decoding.quantile(0.99), prefilled / prompts);
    }
}

/// Engines whose speeds differ permanently and vary, and requests that decode for a short or a
/// long time.
void study_uneven_placement(std::uint64_t seeds, std::uint64_t seed)
{
    for (auto const entries : {25, 90})
    {
        auto const others = static_cast<std::size_t>(entries) - 1;
        auto even = large_system(std::to_string(entries) + " entries, equal engines",
                                 std::min<std::size_t>(32, others));
        even.entries = static_cast<std::size_t>(entries);
        even.is_chosen_by_load = true;
        even.decoding.is_prolonged = true;
        compare_uneven_placements(even, seeds, seed);
        auto uneven = even;
        uneven.name = std::to_string(entries) + " entries, uneven engines";
        uneven.min_speed = 0.55;
        uneven.max_speed = 1.2;
        uneven.slow_fraction = 0.15;
        compare_uneven_placements(uneven, seeds, seed);
        auto long_decoding = uneven;
        long_decoding.name += ", long decoding";
        long_decoding.prompts_per_second = 250;
        long_decoding.decoding.time = lagoonladder::seconds(8);
        compare_uneven_placements(long_decoding, seeds, seed);
    }
}

/// Runs one scenario and prints how late first tokens are at the utilisation that results.
void print_utilisation(placement_scenario const& scenario, std::uint64_t seeds, std::uint64_t seed)
{
    sample_set first_token;
    double work = 0;
    double estimated_work = 0;
    double available = 0;
    for (std::uint64_t i = 0; i < seeds; ++i)
    {
        auto const run_results =
            placement_run(scenario, placement::stated_speed_and_load, seed + i).run();
        first_token.add_all(run_results.to_first_token);
        work += run_results.prefill_work;
        estimated_work += run_results.estimated_prefill_work;
        available += static_cast<double>(scenario.engines) *
                     lagoonladder::to_seconds(run_results.measured_time);
    }
    std::printf("| %s | %zu | %.0f | %.2f | %.2f | %.3f | %.3f | %.2f |\n", scenario.name.c_str(),
                scenario.engines, scenario.prompts_per_second, work / available,
                estimated_work / work, first_token.quantile(0.5), first_token.quantile(0.99),
                100 * first_token.share_above(0.8));
}

/// Uneven engines at increasing load, for the utilisation at which engines are ordered.
void study_utilisation(std::uint64_t seeds, std::uint64_t seed)
{
    std::printf("| scenario | engines | prompts/s | utilisation | estimated work / work | to first "
                "token median s | 99th s | over 0.8 s %% |\n|---|---|---|---|---|---|---|---|\n");
    for (std::size_t const entries : {25, 90})
    {
        for (auto const load : {0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 1.75, 2.0, 2.25})
        {
            auto scenario = large_system(std::to_string(entries) + " entries",
                                         std::min<std::size_t>(32, entries - 1));
            scenario.entries = entries;
            scenario.engines = entries == 25 ? 60 : 90;
            scenario.prompts_per_second = load * 3.6 * static_cast<double>(scenario.engines);
            scenario.is_chosen_by_load = true;
            scenario.decoding.is_prolonged = true;
            scenario.min_speed = 0.55;
            scenario.max_speed = 1.2;
            scenario.slow_fraction = 0.15;
            print_utilisation(scenario, seeds, seed);
        }
    }
}

/// Plain calls at equal and at uneven endpoints.
void study_plain_calls(std::uint64_t seeds, std::uint64_t seed)
{
    std::printf("| scenario | over 150 ms %% | median s | 99th s |\n|---|---|---|---|\n");
    for (std::size_t const entries : {25, 90})
    {
        plain_scenario even;
        even.entries = entries;
        even.name = std::to_string(entries) + " entries, equal endpoints";
        even.calls_per_second = 300;
        auto uneven = even;
        uneven.name = std::to_string(entries) + " entries, uneven endpoints, three figures";
        uneven.calls_per_second = 180;
        uneven.min_speed = 0.55;
        uneven.max_speed = 1.2;
        uneven.slow_fraction = 0.15;
        auto stated = uneven;
        stated.name = std::to_string(entries) + " entries, uneven endpoints, four figures";
        stated.is_time_stated = true;
        for (auto const& scenario : {even, uneven, stated})
        {
            sample_set total;
            for (std::uint64_t i = 0; i < seeds; ++i)
                total.add_all(plain_run(scenario, seed + i).run());
            std::printf("| %s | %.2f | %.3f | %.3f |\n", scenario.name.c_str(),
                        100 * total.share_above(0.15), total.quantile(0.5), total.quantile(0.99));
        }
    }
}

void compare_queues(std::uint64_t seed)
{
    for (auto const kind : {compared_queue::admission, compared_queue::first_in_first_out})
    {
        auto const results = run_overnight(kind, seed);
        std::printf(
            "\nNight, %s: longest age %.0f s, trend reported %d times, first after %.2f h\n\n",
            to_string(kind), results.max_age, static_cast<int>(results.trend_reports),
            results.first_trend_report.value_or(0));
        std::printf(
            "| group | offered | taken %% | refused %% | given up %% | wait median s | 95th s "
            "| given up after, median s |\n|---|---|---|---|---|---|---|---|\n");
        for (auto const& item : results.groups)
        {
            auto const& group = item.second;
            auto const share = [&](std::uint64_t count)
            { return 100 * static_cast<double>(count) / static_cast<double>(group.offered); };
            std::printf("| %s | %llu | %.2f | %.2f | %.2f | %.2f | %.1f | %.1f |\n",
                        item.first.c_str(), static_cast<unsigned long long>(group.offered),
                        share(group.taken), share(group.refused), share(group.given_up),
                        group.wait.quantile(0.5), group.wait.quantile(0.95),
                        group.time_to_refusal.quantile(0.5));
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        TCLAP::CmdLine command("Compares route policies and queues in a simulation.", ' ', "0.1");
        TCLAP::ValueArg<unsigned> seeds("", "seeds", "Runs per policy and scenario.", false, 5, "N",
                                        command);
        TCLAP::ValueArg<unsigned> seed("", "seed", "First seed.", false, 20261204, "S", command);
        TCLAP::SwitchArg placement("", "placement", "Compares placements of prompts only.",
                                   command);
        TCLAP::SwitchArg large_system_placement(
            "", "grown-placement", "Compares placements of prompts in a large system only.",
            command);
        TCLAP::SwitchArg uneven_placement("", "uneven-placement",
                                          "Compares placements of prompts at uneven engines only.",
                                          command);
        TCLAP::SwitchArg utilisation("", "utilisation",
                                     "Studies first tokens at uneven engines by utilisation only.",
                                     command);
        TCLAP::SwitchArg plain_calls("", "plain-calls", "Compares plain calls only.", command);
        command.parse(argc, argv);
        if (plain_calls.getValue())
        {
            study_plain_calls(seeds, seed);
            return 0;
        }
        if (utilisation.getValue())
        {
            study_utilisation(seeds, seed);
            return 0;
        }
        if (uneven_placement.getValue())
        {
            study_uneven_placement(seeds, seed);
            return 0;
        }
        if (placement.getValue())
        {
            study_placement(seeds, seed);
            return 0;
        }
        if (large_system_placement.getValue())
        {
            study_large_system_placement(seeds, seed);
            return 0;
        }
        compare_policies({"Steady load", 34, 1, 2, false, false}, seeds, seed);
        compare_policies({"Bursts of twice the load", 30, 2, 2, false, false}, seeds, seed);
        compare_policies({"One slow replica", 30, 1.3, 2, true, false}, seeds, seed);
        compare_policies({"One zone reclaimed", 24, 1.3, 2, false, true}, seeds, seed);
        compare_policies({"All at once, reports 5 s late", 22, 1.6, 5, true, true}, seeds, seed);
        compare_queues(seed);
    }
    catch (std::exception const& failure)
    {
        std::fprintf(stderr, "error: %s\n", failure.what());
        return 1;
    }
    return 0;
}
