#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>

#include "fixed_threshold.hpp"
#include "traffic_model.hpp"

namespace lagoonladder::version::study
{

namespace
{

struct run_result
{
    move_record record;
    std::uint64_t candidate_requests = 0;
    /// Whether a call was sent to the new version while the fault was active.
    bool fault_was_active = false;
};

using policy_factory = std::function<std::unique_ptr<move_policy>()>;

/// Runs one move in a control state, with one leader or with a change of leader.
class move_run
{
public:
    move_run(scenario const& scenario_of_run, std::uint64_t seed, policy_factory create)
        : settings(scenario_of_run)
        , random(seed)
        , traffic(settings, random)
        , create_policy(std::move(create))
        , leader(create_policy())
    {
        this->apply(
            apply_configuration{generation(0), "c.ini", this->text("old"), operation_id("1")});
        this->apply(
            apply_configuration{generation(1), "c.ini", this->text("new"), operation_id("2")});
    }

    run_result run()
    {
        run_result result;
        for (int second = 0; this->record().state == move_state::running && second < 3600; ++second)
        {
            auto const share = this->record().share;
            auto const requests_before = this->traffic.candidate_requests();
            auto const samples = this->traffic.run_second(second, share);
            this->now += seconds(1);
            result.fault_was_active |= this->traffic.candidate_requests() > requests_before &&
                                       second >= this->settings.fault_after &&
                                       share >= this->settings.fault_share;
            this->decide(second, samples);
        }
        result.record = this->record();
        result.candidate_requests = this->traffic.candidate_requests();
        return result;
    }

private:
    std::string text(char const* version) const
    {
        return std::string("[service s]\nversion = ") + version +
               "\nfinish_within = " + std::to_string(this->settings.total_time.count()) +
               " us\nwatch = " + std::to_string(this->settings.watch.count()) + " us\n";
    }

    void decide(int second, std::vector<traffic_sample> const& samples)
    {
        auto const change_at = this->settings.leader_change;
        if (change_at >= 0 && second >= change_at && second < change_at + this->settings.leader_gap)
        {
            // The samples of this interval are lost with the old leader.
            this->leader = this->create_policy();
            return;
        }
        auto const shared = this->state.shared();
        auto const* service = shared->configuration.find_service(service_name("s"));
        // An update takes effect in the next second.
        if (auto change = this->leader->step(this->now, shared->moves.back(), *service, samples))
            this->apply(*change);
    }

    void apply(command_body body)
    {
        this->state.apply(++this->index, {this->now, std::move(body)});
    }

    move_record record() const { return this->state.shared()->moves.back(); }

    scenario settings;
    seeded_random random;
    traffic_model traffic;
    policy_factory create_policy;
    std::unique_ptr<move_policy> leader;
    control_state state;
    std::uint64_t index = 0;
    wall_time now{std::chrono::hours(24 * 20000)};
};

/// Results of one kind of version under one policy.
struct tally
{
    int runs = 0;
    int in_time = 0;
    int reversed = 0;
    int never_active = 0;
    std::vector<std::uint64_t> requests;

    void add(run_result const& result)
    {
        ++this->runs;
        bool const was_reversed = result.record.state == move_state::reversed;
        this->reversed += was_reversed ? 1 : 0;
        this->in_time += result.record.state == move_state::finished &&
                                 result.record.ended <= result.record.finish_by
                             ? 1
                             : 0;
        this->never_active += result.fault_was_active || was_reversed ? 0 : 1;
        if (was_reversed)
            this->requests.push_back(result.candidate_requests);
    }

    std::uint64_t quantile(double share)
    {
        if (this->requests.empty())
            return 0;
        std::sort(this->requests.begin(), this->requests.end());
        auto const position = share * static_cast<double>(this->requests.size() - 1);
        return this->requests[static_cast<std::size_t>(position)];
    }
};

constexpr fault_kind all_kinds[] = {fault_kind::none,           fault_kind::failing_at_once,
                                    fault_kind::slow_at_once,   fault_kind::failing_later,
                                    fault_kind::bad_under_load, fault_kind::bad_on_one_route};

void print_table(char const* name, std::map<fault_kind, tally>& tallies)
{
    std::printf("| policy | version | runs | fault never active | finished in time | reversed | "
                "requests before reversal, median | 95th percentile |\n"
                "|---|---|---|---|---|---|---|---|\n");
    for (auto const kind : all_kinds)
    {
        auto& tally_of_kind = tallies[kind];
        std::printf("| %s | %s | %d | %d | %d | %d | %llu | %llu |\n", name, fault_name(kind),
                    tally_of_kind.runs, kind == fault_kind::none ? 0 : tally_of_kind.never_active,
                    tally_of_kind.in_time, tally_of_kind.reversed,
                    static_cast<unsigned long long>(tally_of_kind.quantile(0.5)),
                    static_cast<unsigned long long>(tally_of_kind.quantile(0.95)));
    }
}

/// Half of the runs have a good version; the others are spread over the faults.
fault_kind fault_of_run(std::uint64_t run)
{
    return run % 2 == 0 ? fault_kind::none : all_kinds[1 + (run / 2) % 5];
}

struct study_options
{
    std::uint64_t seeds = 1000;
    std::uint64_t seed = 1;
    double noise = 1;
    bool verbose = false;
};

void print_run(char const* name, std::uint64_t run, scenario const& scenario_of_run,
               run_result const& result)
{
    std::printf("%s run %llu %s: %s; rate %.1f, total %.0f s, fault %.2f x%.1f from %.0f s "
                "share %.2f route %s, leader change %.0f, fault active %d\n",
                name, static_cast<unsigned long long>(run), fault_name(scenario_of_run.fault),
                result.record.reason.c_str(), scenario_of_run.rate,
                to_seconds(scenario_of_run.total_time), scenario_of_run.fault_failures,
                scenario_of_run.fault_slowdown, scenario_of_run.fault_after,
                scenario_of_run.fault_share, scenario_of_run.fault_route.c_str(),
                scenario_of_run.leader_change, result.fault_was_active ? 1 : 0);
}

void run_all(char const* name, study_options const& options, policy_factory const& create_policy)
{
    std::map<fault_kind, tally> tallies;
    for (std::uint64_t run = 0; run < options.seeds; ++run)
    {
        seeded_random random(stable_hash(std::to_string(run), options.seed));
        auto const kind = fault_of_run(run);
        auto scenario_of_run = draw_scenario(kind, random);
        scenario_of_run.own_noise *= options.noise;
        auto const result = move_run(scenario_of_run, random.next(), create_policy).run();
        tallies[kind].add(result);
        bool const was_reversed = result.record.state == move_state::reversed;
        if (options.verbose && was_reversed == (kind == fault_kind::none))
            print_run(name, run, scenario_of_run, result);
    }
    print_table(name, tallies);
}

} // namespace

} // namespace lagoonladder::version::study

int main(int argc, char** argv)
{
    using namespace lagoonladder::version::study;
    study_options options;
    for (int i = 1; i < argc; ++i)
    {
        std::string const option = argv[i];
        bool const has_value = i + 1 < argc;
        if (option == "--verbose")
            options.verbose = true;
        else if (option == "--seeds" && has_value)
            options.seeds = std::strtoull(argv[++i], nullptr, 10);
        else if (option == "--seed" && has_value)
            options.seed = std::strtoull(argv[++i], nullptr, 10);
        else if (option == "--noise" && has_value)
            options.noise = std::strtod(argv[++i], nullptr);
        else
        {
            std::cerr << "usage: lagoonladder_move_study [--seeds N] [--seed S] [--noise FACTOR] "
                         "[--verbose]\n";
            return 2;
        }
    }
    run_all("fixed threshold", options, [] { return std::make_unique<fixed_threshold>(); });
    run_all("controller", options, [] { return std::make_unique<controller_policy>(); });
    return 0;
}
