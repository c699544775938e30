#ifndef LAGOONLADDER_REQUEST_TOOLS_OVERNIGHT_RUN_HPP
#define LAGOONLADDER_REQUEST_TOOLS_OVERNIGHT_RUN_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <figures.hpp>

#include <lagoonladder/request.hpp>

namespace lagoonladder::study
{

enum class compared_queue
{
    admission,
    /// First in, first out, bounded by length; a request past its deadline is dropped when taken.
    first_in_first_out
};

char const* to_string(compared_queue queue);

struct account_figures
{
    std::uint64_t offered = 0;
    std::uint64_t taken = 0;
    std::uint64_t refused = 0;
    std::uint64_t given_up = 0;
    figures wait;
    /// Time after its arrival at which a given-up request got its answer.
    figures answer_time;
};

struct overnight_figures
{
    /// By account and priority.
    std::map<std::string, account_figures> groups;
    double longest_age = 0;
    /// Hours after the start of the night.
    std::optional<double> first_trend;
    std::uint64_t trends = 0;
};

/// Eight hours with two large accounts that send drafts in the evening, three small
/// interactive ones, and 60% of the slots reclaimed from the second to the fifth hour.
overnight_figures run_overnight(compared_queue kind, std::uint64_t seed);

} // namespace lagoonladder::study

#endif
