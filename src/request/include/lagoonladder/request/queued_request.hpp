#ifndef LAGOONLADDER_REQUEST_QUEUED_REQUEST_HPP
#define LAGOONLADDER_REQUEST_QUEUED_REQUEST_HPP

#include <cstdint>

#include <lagoonladder/base.hpp>

namespace lagoonladder::request
{

/// Class of a request in the admission queue.
enum class request_priority
{
    interactive,
    /// May wait behind interactive requests, but is served before its deadline.
    draft
};

/// A request that waits for a free slot.
struct queued_request
{
    lagoonladder::request_id request_id;
    account_id account;
    /// Weight of the account in the fair queue; 0 counts as 1.
    std::uint32_t weight = 1;
    request_priority priority = request_priority::interactive;
    /// Latest time at which it is still useful to take the request from the queue.
    time_point deadline{};
    /// Work in a unit that is the same for all requests, such as expected tokens; must be positive.
    double expected_work = 1;
    /// Set by admission_queue::offer.
    time_point arrived{};
};

} // namespace lagoonladder::request

#endif
