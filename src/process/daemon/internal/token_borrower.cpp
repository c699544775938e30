#include "token_borrower.hpp"

#include <algorithm>

#include <control.grpc.pb.h>

namespace lagoonladder::daemon
{

namespace
{

/// Longer than a round trip to another region, so that few calls wait for the timeout.
constexpr duration concurrent_reply_timeout = milliseconds(60);
/// Connections that each call of open_connections() opens. Without this limit a system that starts
/// would open all of its connections within the same seconds.
constexpr std::size_t max_connections_per_call = 8;

/// A request for tokens, on behalf of one call, that is sent to all other entries at once.
struct concurrent_request
{
    double missing = 0;
    double lent = 0;
    std::size_t pending_replies = 0;
    bool has_reply = false;
    /// Empty once the result has been passed to the call.
    token_borrower::handler done;
};

} // namespace

struct token_borrower::quota_holder_request
{
    quota_holder_request(asio::io_context& loop, account_id requested_account,
                         std::vector<network_address> ordered_quota_holders, double missing_tokens,
                         handler on_finished)
        : account(std::move(requested_account))
        , quota_holders(std::move(ordered_quota_holders))
        , missing(missing_tokens)
        , round(this->quota_holders.size(), missing_tokens)
        , has_reply(this->quota_holders.size())
        , done(std::move(on_finished))
        , reply_timeout(loop)
        , expiry(loop)
    {
    }

    account_id account;
    std::vector<network_address> quota_holders;
    double missing;
    request::quota_holder_round round;
    std::vector<bool> has_reply;
    std::map<std::size_t, time_point> asked_at;
    /// Empty once the result has been passed to the call.
    handler done;
    asio::steady_timer reply_timeout;
    asio::steady_timer expiry;
};

token_borrower::token_borrower(std::shared_ptr<asio::io_context> loop,
                               control::peer_channels& channels, clock const& time_source,
                               std::uint64_t seed, late_tokens_handler on_late_tokens)
    : context(std::move(loop))
    , peers(channels)
    , time(time_source)
    , random(seed)
    , deposit_late_tokens(std::move(on_late_tokens))
{
}

void token_borrower::add_quota_holders(std::vector<network_address> const& quota_holders)
{
    for (auto const& quota_holder : quota_holders)
    {
        if (this->known_quota_holders.insert(quota_holder).second)
            this->unconnected_quota_holders.push_back(quota_holder);
    }
}

void token_borrower::open_connections()
{
    for (std::size_t i = 0;
         i < max_connections_per_call && !this->unconnected_quota_holders.empty(); ++i)
    {
        this->peers.channel(this->unconnected_quota_holders.front())->GetState(true);
        this->unconnected_quota_holders.pop_front();
    }
}

void token_borrower::send(
    account_id const& account, network_address const& lender, double tokens, duration timeout,
    std::function<void(grpc::Status const&, request::lender_reply const&)> done)
{
    protocol::LendRequest request;
    request.set_account(account.value());
    request.set_tokens(tokens);
    std::shared_ptr stub = protocol::Quotas::NewStub(this->peers.channel(lender));
    control::call_async<protocol::LendReply>(
        this->context, this->peers, timeout, request,
        [stub](auto* call, auto const* sent, auto* reply, auto finished)
        { stub->async()->Lend(call, sent, reply, std::move(finished)); },
        [stub, done = std::move(done)](grpc::Status const& status, protocol::LendReply& reply)
        {
            request::lender_reply result;
            if (status.ok())
                result = {reply.tokens(), reply.is_holder()};
            done(status, result);
        });
}

void token_borrower::request_from_all(account_id const& account,
                                      std::vector<network_address> const& lenders,
                                      request::token_shortage const& shortage, handler done)
{
    auto const tokens_per_lender =
        request::account_quota::tokens_to_request(shortage, lenders.size());
    auto const round = std::make_shared<concurrent_request>();
    round->missing = shortage.missing;
    round->pending_replies = lenders.size();
    round->done = std::move(done);
    if (lenders.empty())
        return asio::post(*this->context, [round] { round->done({}); });
    for (auto const& lender : lenders)
    {
        this->send(
            account, lender, tokens_per_lender, concurrent_reply_timeout,
            [this, account, round](grpc::Status const& status, request::lender_reply const& reply)
            {
                // Tokens of a late reply have been lent, so they are kept for later calls.
                if (!round->done)
                    return this->deposit_late_tokens(account, reply.lent);
                round->lent += reply.lent;
                round->has_reply = round->has_reply || status.ok();
                bool const is_enough = round->lent >= round->missing;
                if (--round->pending_replies > 0 && !is_enough)
                    return;
                std::exchange(round->done, {})({round->lent, round->has_reply && !is_enough});
            });
    }
}

void token_borrower::request_from_quota_holders(account_id const& account,
                                                std::vector<network_address> quota_holders,
                                                double missing, duration time_left, handler done)
{
    auto ordered_quota_holders =
        this->contacts.order(this->time.now(), std::move(quota_holders), this->random);
    auto const call = std::make_shared<quota_holder_request>(
        *this->context, account, std::move(ordered_quota_holders), missing, std::move(done));
    // The endpoint needs the other half of the time to process the call.
    call->expiry.expires_after(std::min(request::quota_holder_round::max_duration, time_left / 2));
    call->expiry.async_wait(
        [this, call](asio::error_code const& problem)
        {
            if (problem)
                return;
            call->round.expire();
            this->finish(*call);
        });
    this->request_next(call, call->round.start());
}

void token_borrower::return_tokens(account_id const& account, network_address const& lender,
                                   double tokens)
{
    if (tokens <= 0)
        return;
    this->send(account, lender, -tokens, request::quota_holder_round::reply_retention,
               [](grpc::Status const&, request::lender_reply const&) {});
}

void token_borrower::request_next(std::shared_ptr<quota_holder_request> const& call,
                                  std::optional<std::size_t> quota_holder)
{
    if (call->round.is_over())
        return this->finish(*call);
    if (!quota_holder)
        return;
    this->start_reply_timeout(call, *quota_holder);
    call->asked_at[*quota_holder] = this->time.now();
    this->send(call->account, call->quota_holders[*quota_holder], call->missing,
               request::quota_holder_round::reply_retention,
               [this, call, number = *quota_holder](grpc::Status const& status,
                                                    request::lender_reply const& reply)
               { this->reply_received(call, number, status, reply); });
}

void token_borrower::start_reply_timeout(std::shared_ptr<quota_holder_request> const& call,
                                         std::size_t quota_holder)
{
    call->reply_timeout.expires_after(
        this->contacts.reply_timeout(call->quota_holders[quota_holder]));
    call->reply_timeout.async_wait(
        [this, call, quota_holder](asio::error_code const& problem)
        {
            if (problem || call->has_reply[quota_holder])
                return;
            this->contacts.reply_overdue(this->time.now(), call->quota_holders[quota_holder]);
            this->request_next(call, call->round.reply_overdue(quota_holder));
        });
}

void token_borrower::reply_received(std::shared_ptr<quota_holder_request> const& call,
                                    std::size_t quota_holder, grpc::Status const& status,
                                    request::lender_reply const& reply)
{
    auto const now = this->time.now();
    auto const& lender = call->quota_holders[quota_holder];
    call->has_reply[quota_holder] = true;
    if (status.ok())
    {
        this->contacts.reply_received(lender);
        this->contacts.record_reply_time(lender, now - call->asked_at[quota_holder]);
    }
    else
        this->contacts.reply_overdue(now, lender);
    if (!call->done)
        return this->return_tokens(call->account, lender, reply.lent);
    this->request_next(call, status.ok() ? call->round.reply_received(quota_holder, reply)
                                         : call->round.failed(quota_holder));
}

void token_borrower::finish(quota_holder_request& call)
{
    if (!call.done)
        return;
    call.reply_timeout.cancel();
    call.expiry.cancel();
    std::exchange(call.done, {})(call.round.outcome());
}

} // namespace lagoonladder::daemon
