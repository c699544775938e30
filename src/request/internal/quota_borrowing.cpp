#include <lagoonladder/request/quota_borrowing.hpp>

#include <algorithm>

namespace lagoonladder::request
{

bool quota_borrowing::may_begin_round(time_point now, account_id const& account,
                                      bool has_quota_holders, double tokens) const
{
    auto const found = this->accounts.find(account);
    if (found == this->accounts.end())
        return true;
    auto const& state = found->second;
    auto const max_open = has_quota_holders ? max_open_quota_holder_rounds : max_open_rounds;
    bool const is_paused = now < state.paused_until && tokens >= state.refused_tokens;
    return state.open < max_open && !is_paused;
}

bool quota_borrowing::begin_round(time_point now, account_id const& account, bool has_quota_holders,
                                  double tokens)
{
    if (!this->may_begin_round(now, account, has_quota_holders, tokens))
        return false;
    ++this->accounts[account].open;
    return true;
}

void quota_borrowing::end_round(time_point now, account_id const& account,
                                lending_outcome const& outcome, double tokens)
{
    auto& state = this->accounts[account];
    --state.open;
    if (!outcome.refused)
        return;
    bool const was_paused = now < state.paused_until;
    state.refused_tokens = was_paused ? std::min(state.refused_tokens, tokens) : tokens;
    state.paused_until = now + refusal_pause;
}

} // namespace lagoonladder::request
