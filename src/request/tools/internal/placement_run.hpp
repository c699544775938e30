#ifndef LAGOONLADDER_REQUEST_TOOLS_PLACEMENT_RUN_HPP
#define LAGOONLADDER_REQUEST_TOOLS_PLACEMENT_RUN_HPP

#include <deque>
#include <string>
#include <vector>

#include "engine_model.hpp"

namespace lagoonladder::study
{

enum class placement
{
    /// One engine for each shared part, by rendezvous.
    by_part,
    /// The less loaded of two engines, by the entry's own requests of the last second.
    two_choices,
    /// request::prompt_backlog, without news of other entries.
    own_backlog,
    /// request::prompt_backlog with news after a delay, taken for the news of all prompts.
    shared_backlog,
    /// The same, with estimates of the part of the prompts that it hears of.
    part_of_backlog
};

char const* to_string(placement policy);

struct placement_scenario
{
    std::string name;
    std::size_t engines = 6;
    /// Prompts a second of all kinds.
    double prompts_per_second = 23;
    /// Engines of which this many are lost after 20 s.
    std::size_t lost_engines = 0;
    /// Five times slower from 20 s on.
    std::size_t slow_engines = 0;
    /// Until other entries know of a prompt.
    duration news_delay = milliseconds(3);
    std::size_t entries = 11;
    /// Times the shared parts of the Permits Office.
    std::uint64_t subject_factor = 1;
    /// Other entries that are told of a prompt, drawn anew each time.
    std::size_t receivers = 10;
    /// Part of the news that does not arrive.
    double lost_news = 0;
    /// Engines that are away for 5 s after 20 s and keep nothing afterwards.
    std::size_t restarted_engines = 0;
    /// Engines whose costs differ by less are chosen from at random.
    duration tolerance{};
    decode_model decoding;
};

struct placement_figures
{
    std::uint64_t long_prompts = 0;
    std::uint64_t late_long_prompts = 0;
    /// Prompts of all kinds past the first-token objective of docs/CAPACITY.md, 0.63 s.
    std::uint64_t late_prompts = 0;
    std::uint64_t prompts = 0;
    double seconds_to_first_token = 0;
    double tokens_read = 0;
};

/// Prompts of three kinds, with the sizes of the Permits Office, at random entries for 60 s.
/// The engines keep nothing at the start.
class placement_run
{
public:
    placement_run(placement_scenario const& conditions, placement policy, std::uint64_t seed);

    placement_figures run();

private:
    struct news
    {
        time_point arrives{};
        std::size_t from = 0;
        std::size_t engine = 0;
        incarnation start;
        request::prompt_parts prompt;
    };

    struct answer
    {
        time_point when{};
        std::size_t entry = 0;
        std::size_t engine = 0;
        incarnation start;
        request::sent_prompt sent;
    };

    struct entry_state
    {
        request::prompt_backlog backlog;
        std::vector<std::deque<time_point>> sent;
    };

    double uniform() { return this->random.unit(); }
    double lognormal(double mean, double spread, double most);
    request::prompt_parts make_prompt(bool& is_long);
    void disturb();
    void restart_engines();
    /// One of the usable engines by their costs.
    std::size_t choose_cheap(std::vector<std::size_t> const& usable,
                             std::vector<duration> const& costs);
    void deliver();
    std::size_t choose(std::size_t entry, request::prompt_parts const& prompt);
    void send(std::size_t entry, request::prompt_parts const& prompt, bool is_long);

    placement_scenario const scenario;
    placement const policy;
    seeded_random random;
    std::uint64_t const subjects_seed;
    std::vector<engine_model> engines;
    std::vector<bool> is_lost;
    std::vector<incarnation> starts;
    std::vector<entry_state> states;
    std::deque<news> messages;
    std::vector<answer> answers;
    std::uint64_t next_own_part = 1'000'000;
    time_point now{};
    bool is_disturbed = false;
    bool is_restarted = false;
    placement_figures result;
};

} // namespace lagoonladder::study

#endif
