#include "quota_borrowing.hpp"

namespace lagoonladder::proxy
{

bool quota_borrowing::begin_round(time_point now, account_id const& account)
{
    auto& known = this->accounts[account];
    if (known.open >= max_open_rounds || now < known.paused_until)
        return false;
    ++known.open;
    return true;
}

void quota_borrowing::end_round(time_point now, account_id const& account, bool brought_enough)
{
    auto& known = this->accounts[account];
    --known.open;
    if (!brought_enough)
        known.paused_until = now + pause;
}

} // namespace lagoonladder::proxy
