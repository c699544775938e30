#include <lagoonladder/request/quota_borrowing.hpp>

namespace lagoonladder::request
{

bool quota_borrowing::begin_round(time_point now, account_id const& account, bool has_keepers)
{
    auto& known = this->accounts[account];
    auto const most = has_keepers ? max_open_quota_holder_rounds : max_open_rounds;
    if (known.open >= most || now < known.paused_until)
        return false;
    ++known.open;
    return true;
}

void quota_borrowing::end_round(time_point now, account_id const& account,
                                lending_outcome const& outcome)
{
    auto& known = this->accounts[account];
    --known.open;
    if (outcome.refused)
        known.paused_until = now + pause;
}

} // namespace lagoonladder::request
