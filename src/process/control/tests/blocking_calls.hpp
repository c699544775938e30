#ifndef LAGOONLADDER_CONTROL_TESTS_BLOCKING_CALLS_HPP
#define LAGOONLADDER_CONTROL_TESTS_BLOCKING_CALLS_HPP

#include <future>

#include <lagoonladder/control/control_plane.hpp>

namespace lagoonladder::control
{

/// Time after a call's own timeout at which the test fails because the handler was not called.
inline constexpr std::chrono::seconds handler_allowance{5};

/// Proposes a command and waits for the outcome.
inline proposal_outcome propose_and_wait(control_plane& plane, version::command_body body,
                                         duration timeout)
{
    auto const promise = std::make_shared<std::promise<proposal_outcome>>();
    auto future = promise->get_future();
    plane.propose(std::move(body), timeout,
                  [promise](proposal_outcome const& outcome) { promise->set_value(outcome); });
    if (future.wait_for(timeout + handler_allowance) != std::future_status::ready)
        throw std::runtime_error("the handler of a proposal was not called");
    return future.get();
}

/// Proposes a command and returns its result. Throws when it is not committed.
inline version::command_result commit_and_wait(control_plane& plane, version::command_body body,
                                               duration timeout)
{
    auto const outcome = propose_and_wait(plane, std::move(body), timeout);
    if (outcome.status != proposal_status::committed)
        throw std::runtime_error("the command was not committed");
    return outcome.result;
}

struct found_record
{
    find_status status = find_status::unavailable;
    std::optional<request::at_most_once_reply> reply;
};

/// Looks up the record of an idempotency key and waits for the result.
inline found_record find_and_wait(control_plane& plane, request::at_most_once_key const& key,
                                  duration timeout)
{
    auto const promise = std::make_shared<std::promise<found_record>>();
    auto future = promise->get_future();
    plane.find_once(key, timeout,
                    [promise](find_status status, auto const& reply) {
                        promise->set_value({status, reply});
                    });
    if (future.wait_for(timeout + handler_allowance) != std::future_status::ready)
        throw std::runtime_error("the handler of a lookup was not called");
    return future.get();
}

} // namespace lagoonladder::control

#endif
