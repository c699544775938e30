#include "pending_loan.hpp"

namespace lagoonladder::daemon
{

std::optional<request::lender_reply> pending_loan::wait(duration timeout)
{
    std::unique_lock lock(this->mutex);
    this->completed.wait_for(lock, timeout, [this] { return this->reply.has_value(); });
    this->abandoned = !this->reply;
    return this->reply;
}

bool pending_loan::is_abandoned() const
{
    std::lock_guard const lock(this->mutex);
    return this->abandoned;
}

bool pending_loan::complete(request::lender_reply const& result)
{
    std::lock_guard const lock(this->mutex);
    if (this->abandoned)
        return false;
    this->reply = result;
    this->completed.notify_one();
    return true;
}

} // namespace lagoonladder::daemon
