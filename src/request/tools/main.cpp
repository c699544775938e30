#include <cstdio>
#include <exception>

#include <tclap/CmdLine.h>

#include <overnight_run.hpp>
#include <placement_run.hpp>
#include <routing_run.hpp>

namespace
{

using namespace lagoonladder::study;
using lagoonladder::milliseconds;

void add(routing_figures& total, routing_figures const& one)
{
    total.offered += one.offered;
    total.in_time += one.in_time;
    total.late += one.late;
    total.refused += one.refused;
    total.given_up += one.given_up;
    total.recomputed_tokens += one.recomputed_tokens;
    total.first_token.add_all(one.first_token);
    total.queue_age.add_all(one.queue_age);
}

void print_row(char const* name, routing_figures const& total)
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
        routing_figures total;
        for (std::uint64_t i = 0; i < seeds; ++i)
            add(total, routing_run(scenario, policy, seed + i).run());
        print_row(to_string(policy), total);
    }
}

void compare_placements(placement_scenario const& scenario, std::uint64_t seeds, std::uint64_t seed)
{
    std::printf("\n%s\n\n", scenario.name.c_str());
    std::printf("| placement | long prompts late %% | mean to first token s | tokens read per "
                "prompt |\n|---|---|---|---|\n");
    for (auto const policy : {placement::two_choices, placement::by_part, placement::own_backlog,
                              placement::shared_backlog})
    {
        placement_figures total;
        for (std::uint64_t i = 0; i < seeds; ++i)
        {
            auto const one = placement_run(scenario, policy, seed + i).run();
            total.long_prompts += one.long_prompts;
            total.late_long_prompts += one.late_long_prompts;
            total.prompts += one.prompts;
            total.seconds_to_first_token += one.seconds_to_first_token;
            total.tokens_read += one.tokens_read;
        }
        auto const prompts = static_cast<double>(total.prompts);
        std::printf("| %s | %.2f | %.3f | %.0f |\n", to_string(policy),
                    100 * static_cast<double>(total.late_long_prompts) /
                        static_cast<double>(total.long_prompts),
                    total.seconds_to_first_token / prompts, total.tokens_read / prompts);
    }
}

void study_placement(std::uint64_t seeds, std::uint64_t seed)
{
    compare_placements({"Six engines", 6, 23, 0, 0, milliseconds(3)}, seeds, seed);
    compare_placements({"Five engines, 36 prompts a second", 5, 36, 0, 0, milliseconds(3)}, seeds,
                       seed);
    compare_placements({"Two of six engines lost", 6, 23, 2, 0, milliseconds(3)}, seeds, seed);
    compare_placements({"One of six engines slow", 6, 23, 0, 1, milliseconds(3)}, seeds, seed);
    compare_placements(
        {"Two of six engines lost, news after 100 ms", 6, 23, 2, 0, milliseconds(100)}, seeds,
        seed);
    compare_placements(
        {"Two of six engines lost, news after 500 ms", 6, 23, 2, 0, milliseconds(500)}, seeds,
        seed);
}

void compare_queues(std::uint64_t seed)
{
    for (auto const kind : {compared_queue::admission, compared_queue::first_in_first_out})
    {
        auto const night = run_overnight(kind, seed);
        std::printf(
            "\nNight, %s: longest age %.0f s, trend reported %d times, first after %.2f h\n\n",
            to_string(kind), night.longest_age, static_cast<int>(night.trends),
            night.first_trend.value_or(0));
        std::printf(
            "| group | offered | taken %% | refused %% | given up %% | wait median s | 95th s "
            "| given up after, median s |\n|---|---|---|---|---|---|---|---|\n");
        for (auto const& item : night.groups)
        {
            auto const& group = item.second;
            auto const share = [&](std::uint64_t count)
            { return 100 * static_cast<double>(count) / static_cast<double>(group.offered); };
            std::printf("| %s | %llu | %.2f | %.2f | %.2f | %.2f | %.1f | %.1f |\n",
                        item.first.c_str(), static_cast<unsigned long long>(group.offered),
                        share(group.taken), share(group.refused), share(group.given_up),
                        group.wait.quantile(0.5), group.wait.quantile(0.95),
                        group.answer_time.quantile(0.5));
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        TCLAP::CmdLine command("Compares route policies and queues in a small closed model.", ' ',
                               "0.1");
        TCLAP::ValueArg<unsigned> seeds("", "seeds", "Runs per policy and scenario.", false, 5, "N",
                                        command);
        TCLAP::ValueArg<unsigned> seed("", "seed", "First seed.", false, 20261204, "S", command);
        TCLAP::SwitchArg placement("", "placement", "Compares placements of prompts only.",
                                   command);
        command.parse(argc, argv);
        if (placement.getValue())
        {
            study_placement(seeds, seed);
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
