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
    std::uint64_t fresh_requests = 0;
    /// Whether the fault ever acted on a call.
    bool fault_acted = false;
};

using make_decider = std::function<std::unique_ptr<decider>()>;

/// One move through the control state, with one leader or two.
class move_run
{
public:
    move_run(scenario const& drawn, std::uint64_t seed, make_decider maker)
        : setup(drawn)
        , random(seed)
        , traffic(setup, random)
        , make(std::move(maker))
        , leader(make())
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
            auto const before = this->traffic.fresh_requests();
            auto const samples = this->traffic.run_second(second, share);
            this->now += seconds(1);
            result.fault_acted |= this->traffic.fresh_requests() > before &&
                                  second >= this->setup.fault_after &&
                                  share >= this->setup.fault_share;
            this->decide(second, samples);
        }
        result.record = this->record();
        result.fresh_requests = this->traffic.fresh_requests();
        return result;
    }

private:
    std::string text(char const* version) const
    {
        return std::string("[service s]\nversion = ") + version +
               "\nfinish_within = " + std::to_string(this->setup.whole.count()) +
               " us\nwatch = " + std::to_string(this->setup.watch.count()) + " us\n";
    }

    void decide(int second, std::vector<traffic_sample> const& samples)
    {
        auto const change_at = this->setup.leader_change;
        if (change_at >= 0 && second >= change_at && second < change_at + this->setup.leader_gap)
        {
            // The samples of this time are lost with the old leader.
            this->leader = this->make();
            return;
        }
        auto const shared = this->state.shared();
        auto const* service = shared->configuration.find_service(service_name("s"));
        // An update takes effect with the next second.
        if (auto change = this->leader->step(this->now, shared->moves.back(), *service, samples))
            this->apply(*change);
    }

    void apply(command_body body)
    {
        this->state.apply(++this->index, {this->now, std::move(body)});
    }

    move_record record() const { return this->state.shared()->moves.back(); }

    scenario setup;
    seeded_random random;
    traffic_model traffic;
    make_decider make;
    std::unique_ptr<decider> leader;
    control_state state;
    std::uint64_t index = 0;
    wall_time now{std::chrono::hours(24 * 20000)};
};

/// Results of one kind of version under one decider.
struct tally
{
    int runs = 0;
    int in_time = 0;
    int reversed = 0;
    int not_acted = 0;
    std::vector<std::uint64_t> requests;

    void add(run_result const& result)
    {
        ++this->runs;
        bool const reversal = result.record.state == move_state::reversed;
        this->reversed += reversal ? 1 : 0;
        this->in_time += result.record.state == move_state::finished &&
                                 result.record.ended <= result.record.finish_by
                             ? 1
                             : 0;
        this->not_acted += result.fault_acted || reversal ? 0 : 1;
        if (reversal)
            this->requests.push_back(result.fresh_requests);
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

void print(char const* name, std::map<fault_kind, tally>& tallies)
{
    std::printf("| decider | version | runs | fault never acted | finished in time | reversed | "
                "requests before reversal, median | 95th percentile |\n"
                "|---|---|---|---|---|---|---|---|\n");
    for (auto const kind : all_kinds)
    {
        auto& one = tallies[kind];
        std::printf("| %s | %s | %d | %d | %d | %d | %llu | %llu |\n", name, fault_name(kind),
                    one.runs, kind == fault_kind::none ? 0 : one.not_acted, one.in_time,
                    one.reversed, static_cast<unsigned long long>(one.quantile(0.5)),
                    static_cast<unsigned long long>(one.quantile(0.95)));
    }
}

/// A half of the runs are good versions, the rest is spread over the faults.
fault_kind kind_of_run(std::uint64_t run)
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

void explain(char const* name, std::uint64_t run, scenario const& drawn, run_result const& result)
{
    std::printf("%s run %llu %s: %s; rate %.1f, whole %.0f s, fault %.2f x%.1f from %.0f s "
                "share %.2f route %s, leader change %.0f, acted %d\n",
                name, static_cast<unsigned long long>(run), fault_name(drawn.fault),
                result.record.reason.c_str(), drawn.rate, to_seconds(drawn.whole),
                drawn.fault_failures, drawn.fault_slowdown, drawn.fault_after, drawn.fault_share,
                drawn.fault_route.c_str(), drawn.leader_change, result.fault_acted ? 1 : 0);
}

void run_all(char const* name, study_options const& options, make_decider const& make)
{
    std::map<fault_kind, tally> tallies;
    for (std::uint64_t run = 0; run < options.seeds; ++run)
    {
        seeded_random random(stable_hash(std::to_string(run), options.seed));
        auto const kind = kind_of_run(run);
        auto drawn = draw_scenario(kind, random);
        drawn.own_noise *= options.noise;
        auto const result = move_run(drawn, random.next(), make).run();
        tallies[kind].add(result);
        bool const reversed = result.record.state == move_state::reversed;
        if (options.verbose && reversed == (kind == fault_kind::none))
            explain(name, run, drawn, result);
    }
    print(name, tallies);
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
    run_all("controller", options, [] { return std::make_unique<library_decider>(); });
    return 0;
}
