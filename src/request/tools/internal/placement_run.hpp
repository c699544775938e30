#ifndef LAGOONLADDER_REQUEST_TOOLS_PLACEMENT_RUN_HPP
#define LAGOONLADDER_REQUEST_TOOLS_PLACEMENT_RUN_HPP

#include <deque>
#include <string>
#include <vector>

#include "engine_model.hpp"
#include "sample_set.hpp"

namespace lagoonladder::study
{

/// How an entry chooses the engine for a prompt.
enum class placement
{
    /// The engine that comes first for the shared part by rendezvous hashing.
    by_shared_part,
    /// The less loaded of two random engines, by the requests that the entry itself sent in the
    /// last second.
    two_choices,
    /// request::prompt_backlog, without notices of other entries.
    own_backlog,
    /// request::prompt_backlog with delayed notices, which are assumed to cover all prompts.
    shared_backlog,
    /// Like shared_backlog, but the estimates consider for which fraction of the prompts the entry
    /// receives notices.
    partial_backlog,
    /// Like partial_backlog, with the speeds that the engines state.
    stated_speed,
    /// Like stated_speed, and requests that run at an engine count as a delay.
    stated_speed_and_load
};

char const* to_string(placement policy);

struct placement_scenario
{
    std::string name;
    std::size_t engines = 6;
    /// Prompts of all kinds.
    double prompts_per_second = 23;
    /// Number of engines that are lost after 20 s.
    std::size_t lost_engines = 0;
    /// Number of engines that become five times slower after 20 s.
    std::size_t slow_engines = 0;
    /// Time until other entries receive the notice of a prompt.
    duration notice_delay = milliseconds(3);
    std::size_t entries = 11;
    /// Number of shared parts, as a multiple of those of the Permits Office.
    std::uint64_t subject_factor = 1;
    /// Number of other entries that receive a notice of each prompt, drawn at random each time.
    std::size_t receivers = 10;
    /// Fraction of the notices that are lost.
    double lost_notice_fraction = 0;
    /// Number of engines that are unavailable for 5 s after 20 s and have empty caches afterwards.
    std::size_t restarted_engines = 0;
    /// The engine is drawn at random from those whose cost exceeds the minimum by at most this.
    duration tolerance{};
    decode_model decoding;
    /// Permanent speeds are drawn from `min_speed` to `max_speed`; see uneven_model.
    double min_speed = 1;
    double max_speed = 1;
    double slow_fraction = 0;
    /// Chooses among the engines with nearly the lowest cost as endpoint_chooser does, by their
    /// load.
    bool is_chosen_by_load = false;
};

struct placement_results
{
    std::uint64_t long_prompts = 0;
    std::uint64_t late_long_prompts = 0;
    /// Prompts of all kinds past the first-token objective of docs/CAPACITY.md, 0.63 s.
    std::uint64_t late_prompts = 0;
    std::uint64_t prompts = 0;
    /// Sum over all prompts.
    double seconds_to_first_token = 0;
    double prefilled_tokens = 0;
    /// Seconds of each prompt, without those sent before `uneven_warm_up`.
    sample_set to_first_token;
    sample_set decoding;
    /// Engine-seconds of prefill after the warm-up: spent by the engines, and estimated by the
    /// entries when they sent the prompts.
    double prefill_work = 0;
    double estimated_prefill_work = 0;
    duration measured_time{};
};

/// Simulates prompts of three kinds, with the sizes of the Permits Office, at random entries for
/// 60 s. The caches of the engines are empty at the start.
class placement_run
{
public:
    placement_run(placement_scenario const& conditions, placement policy, std::uint64_t seed);

    placement_results run();

private:
    struct prompt_notice
    {
        time_point arrives{};
        std::size_t from = 0;
        std::size_t engine = 0;
        incarnation start;
        request::prompt_parts prompt;
    };

    /// The first token of a response, which its entry receives at `arrives`.
    struct first_token_event
    {
        time_point arrives{};
        std::size_t entry = 0;
        std::size_t engine = 0;
        incarnation start;
        request::sent_prompt sent;
    };

    /// The end of a response, which its entry receives at `arrives`.
    struct end_event
    {
        time_point arrives{};
        time_point sent_at{};
        std::size_t entry = 0;
        std::size_t engine = 0;
    };

    struct entry_state
    {
        request::prompt_backlog backlog;
        /// Times at which the entry sent prompts to each engine.
        std::vector<std::deque<time_point>> sent;
        request::load_estimate loads;
        request::balanced_route_policy policy;
    };

    double uniform() { return this->random.unit(); }
    /// Returns a lognormal random number; `spread` is the standard deviation of its logarithm.
    double lognormal(double mean, double spread, double max_value);
    request::prompt_parts make_prompt(bool& is_long);
    void inject_faults();
    void restart_engines();
    uneven_model draw_differences(std::size_t engine);
    void deliver_first_token(first_token_event const& first_token);
    void deliver_ends();
    void add_load_delays(std::size_t entry, std::vector<endpoint_id> const& candidates,
                         std::vector<duration>& costs) const;
    /// Returns one of the engines as endpoint_chooser does.
    std::size_t choose_by_load(std::size_t entry, std::vector<std::size_t> const& engines);
    /// Returns the usable engine with the lowest cost; a random one of those within the tolerance.
    std::size_t choose_cheapest(std::size_t entry, std::vector<std::size_t> const& usable,
                                std::vector<duration> const& costs);
    /// Delivers the notices and first tokens that have arrived.
    void deliver_messages();
    std::size_t choose(std::size_t entry, request::prompt_parts const& prompt);
    void send(std::size_t entry, request::prompt_parts const& prompt, bool is_long);

    placement_scenario const scenario;
    placement const policy;
    seeded_random random;
    std::uint64_t const subjects_seed;
    std::vector<engine_model> engines;
    std::vector<bool> is_lost;
    std::vector<incarnation> starts;
    std::vector<entry_state> entries;
    std::deque<prompt_notice> notices;
    std::vector<first_token_event> first_tokens;
    std::vector<end_event> ends;
    std::uint64_t next_own_part = 1'000'000;
    time_point now{};
    std::uint64_t reports = 0;
    bool are_faults_injected = false;
    bool are_engines_restarted = false;
    placement_results result;
};

} // namespace lagoonladder::study

#endif
