#ifndef LAGOONLADDER_REQUEST_TOOLS_OVERNIGHT_RUN_HPP
#define LAGOONLADDER_REQUEST_TOOLS_OVERNIGHT_RUN_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <sample_set.hpp>

#include <lagoonladder/request.hpp>

namespace lagoonladder::study
{

/// Queue that a run uses.
enum class compared_queue
{
    admission,
    /// First in, first out, with bounded length; a request past its deadline is dropped when it is
    /// taken.
    first_in_first_out
};

char const* to_string(compared_queue queue);

struct account_results
{
    std::uint64_t offered = 0;
    std::uint64_t taken = 0;
    std::uint64_t refused = 0;
    std::uint64_t given_up = 0;
    sample_set wait;
    /// Time from its arrival after which a request that was given up was refused.
    sample_set answer_time;
};

struct overnight_results
{
    /// By account and priority.
    std::map<std::string, account_results> groups;
    double max_age = 0;
    /// Hours after the start of the night.
    std::optional<double> first_trend;
    std::uint64_t trends = 0;
};

/// Simulates eight hours with two large accounts that send drafts in the evening, three small
/// interactive accounts, and 60% of the slots reclaimed from the second to the fifth hour.
overnight_results run_overnight(compared_queue kind, std::uint64_t seed);

} // namespace lagoonladder::study

#endif
