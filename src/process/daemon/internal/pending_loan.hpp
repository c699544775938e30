#ifndef LAGOONLADDER_DAEMON_PENDING_LOAN_HPP
#define LAGOONLADDER_DAEMON_PENDING_LOAN_HPP

#include <condition_variable>
#include <mutex>
#include <optional>

#include <lagoonladder/request.hpp>

namespace lagoonladder::daemon
{

/// Reply to another entry that asks for tokens, passed from the traffic thread to the thread of the
/// gRPC call. Either the reply reaches the call, or the lender learns that it does not: tokens of a
/// reply that nobody waits for would be missing for later requests. Thread-safe.
class pending_loan
{
public:
    /// Waits for the reply. Without one within `timeout`, abandons the loan.
    std::optional<request::lender_reply> wait(duration timeout);

    /// Whether the loan is abandoned, so that no tokens need to be taken for it.
    bool is_abandoned() const;
    /// Passes the reply to the waiting call. Returns false when the loan is abandoned.
    bool complete(request::lender_reply const& result);

private:
    mutable std::mutex mutex;
    std::condition_variable completed;
    std::optional<request::lender_reply> reply;
    bool abandoned = false;
};

} // namespace lagoonladder::daemon

#endif
