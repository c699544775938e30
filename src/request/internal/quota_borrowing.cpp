#include <lagoonladder/request/quota_borrowing.hpp>

namespace lagoonladder::request
{

bool quota_borrowing::begin_round(time_point now, account_id const& account, bool has_quota_holders)
{
    auto& state = this->accounts[account];
    auto const max_open = has_quota_holders ? max_open_quota_holder_rounds : max_open_rounds;
    if (state.open >= max_open || now < state.paused_until)
        return false;
    ++state.open;
    return true;
}

void quota_borrowing::end_round(time_point now, account_id const& account,
                                lending_outcome const& outcome)
{
    auto& state = this->accounts[account];
    --state.open;
    if (outcome.refused)
        state.paused_until = now + refusal_pause;
}

} // namespace lagoonladder::request
