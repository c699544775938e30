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

/// Queue implementation whose results are compared.
enum class compared_queue
{
    admission,
    /// First in, first out, with bounded length; a request past its deadline is dropped when it is
    /// taken.
    first_in_first_out
};

char const* to_string(compared_queue queue);

/// Numbers of requests of one account and priority. `taken`, `refused` and `given_up` do not
/// overlap; requests that still wait at the end of the night are counted in none of them.
struct account_results
{
    std::uint64_t offered = 0;
    /// Given to a free slot.
    std::uint64_t taken = 0;
    /// Refused on arrival.
    std::uint64_t refused = 0;
    /// Queued, but refused by the queue before a slot took them.
    std::uint64_t given_up = 0;
    /// Seconds from arrival to a slot, for requests that were taken.
    sample_set wait;
    /// Seconds from arrival to refusal, for requests that were given up.
    sample_set time_to_refusal;
};

struct overnight_results
{
    /// The key is the account followed by " drafts" or " interactive".
    std::map<std::string, account_results> groups;
    /// Maximum age of the oldest request in the queue, in seconds, observed once per second.
    double max_age = 0;
    /// Time of the first report of a growing queue, in hours after the start of the night. No value
    /// if there was none.
    std::optional<double> first_trend_report;
    /// Number of reports of a growing queue.
    std::uint64_t trend_reports = 0;
};

/// Simulates eight hours with two large accounts that send drafts in the evening, three small
/// interactive accounts, and 60% of the slots reclaimed from the second to the fifth hour.
overnight_results run_overnight(compared_queue kind, std::uint64_t seed);

} // namespace lagoonladder::study

#endif
