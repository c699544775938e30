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
    /// request::prompt_backlog with news after a delay.
    shared_backlog
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
};

struct placement_figures
{
    std::uint64_t long_prompts = 0;
    std::uint64_t late_long_prompts = 0;
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
        request::prompt_parts prompt;
    };

    struct answer
    {
        time_point when{};
        std::size_t entry = 0;
        std::size_t engine = 0;
        request::sent_prompt sent;
    };

    struct entry_state
    {
        request::prompt_backlog backlog;
        std::vector<std::deque<time_point>> sent;
    };

    static constexpr std::size_t entries = 11;

    double uniform() { return this->random.unit(); }
    double lognormal(double mean, double spread, double most);
    request::prompt_parts make_prompt(bool& is_long);
    void disturb();
    void deliver();
    std::size_t choose(std::size_t entry, request::prompt_parts const& prompt);
    void send(std::size_t entry, request::prompt_parts const& prompt, bool is_long);

    placement_scenario const scenario;
    placement const policy;
    seeded_random random;
    std::uint64_t const subjects_seed;
    std::vector<engine_model> engines;
    std::vector<bool> is_lost;
    std::vector<entry_state> states;
    std::deque<news> messages;
    std::vector<answer> answers;
    std::uint64_t next_own_part = 1'000'000;
    time_point now{};
    bool is_disturbed = false;
    placement_figures result;
};

} // namespace lagoonladder::study

#endif
