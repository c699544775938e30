#include "token_lending.hpp"

#include <algorithm>

#include <control.grpc.pb.h>

namespace lagoonladder::daemon
{

namespace
{

/// Longer than a message to another region and back; a call that waits for it is rare.
constexpr duration lend_timeout = milliseconds(60);
/// Connections opened at one time. A system that starts opens all of its connections in
/// the same seconds.
constexpr std::size_t connections_at_once = 8;

/// Tokens that all other entries give for one call.
struct lending_round
{
    double missing = 0;
    double lent = 0;
    std::size_t open = 0;
    bool is_answered = false;
    /// Empty once the call has gone on.
    token_lending::handler done;
};

} // namespace

struct token_lending::keeper_call
{
    keeper_call(asio::io_context& loop, account_id whose, std::vector<network_address> order,
                double wanted, handler when_over)
        : account(std::move(whose))
        , keepers(std::move(order))
        , missing(wanted)
        , round(this->keepers.size(), wanted)
        , is_answered(this->keepers.size())
        , done(std::move(when_over))
        , reply_timeout(loop)
        , expiry(loop)
    {
    }

    account_id account;
    std::vector<network_address> keepers;
    double missing;
    request::quota_holder_round round;
    std::vector<bool> is_answered;
    /// Empty once the call has gone on.
    handler done;
    asio::steady_timer reply_timeout;
    asio::steady_timer expiry;
};

token_lending::token_lending(std::shared_ptr<asio::io_context> loop,
                             control::peer_channels& channels, clock const& time_source,
                             std::uint64_t seed, late_tokens late)
    : context(std::move(loop))
    , peers(channels)
    , time(time_source)
    , random(seed)
    , deposit(std::move(late))
{
}

void token_lending::expect(std::vector<network_address> const& keepers)
{
    for (auto const& keeper : keepers)
    {
        if (this->expected.insert(keeper).second)
            this->unconnected.push_back(keeper);
    }
}

void token_lending::connect()
{
    for (std::size_t i = 0; i < connections_at_once && !this->unconnected.empty(); ++i)
    {
        this->peers.channel(this->unconnected.front())->GetState(true);
        this->unconnected.pop_front();
    }
}

void token_lending::send(
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
            request::lender_reply given;
            if (status.ok())
                given = {reply.tokens(), reply.is_holder()};
            done(status, given);
        });
}

void token_lending::ask_all(account_id const& account, std::vector<network_address> const& lenders,
                            double missing, handler done)
{
    auto const part = request::account_quota::tokens_to_request(missing, lenders.size());
    auto const round = std::make_shared<lending_round>();
    round->missing = missing;
    round->open = lenders.size();
    round->done = std::move(done);
    if (lenders.empty())
        return asio::post(*this->context, [round] { round->done({}); });
    for (auto const& lender : lenders)
    {
        this->send(
            account, lender, part, lend_timeout,
            [this, account, round](grpc::Status const& status, request::lender_reply const& reply)
            {
                // A later answer still brings its tokens.
                if (!round->done)
                    return this->deposit(account, reply.lent);
                round->lent += reply.lent;
                round->is_answered = round->is_answered || status.ok();
                bool const is_enough = round->lent >= round->missing;
                if (--round->open > 0 && !is_enough)
                    return;
                std::exchange(round->done, {})({round->lent, round->is_answered && !is_enough});
            });
    }
}

void token_lending::ask_keepers(account_id const& account, std::vector<network_address> keepers,
                                double missing, duration time_left, handler done)
{
    auto order = this->contacts.order(this->time.now(), std::move(keepers), this->random);
    auto const call = std::make_shared<keeper_call>(*this->context, account, std::move(order),
                                                    missing, std::move(done));
    // The endpoint needs the other half.
    call->expiry.expires_after(std::min(request::quota_holder_round::max_duration, time_left / 2));
    call->expiry.async_wait(
        [this, call](asio::error_code const& problem)
        {
            if (problem)
                return;
            call->round.expire();
            this->finish(*call);
        });
    this->ask_next(call, call->round.start());
}

void token_lending::ask_next(std::shared_ptr<keeper_call> const& call,
                             std::optional<std::size_t> keeper)
{
    if (call->round.is_over())
        return this->finish(*call);
    if (!keeper)
        return;
    this->wait_for(call, *keeper);
    this->send(call->account, call->keepers[*keeper], call->missing, request::quota_holder_round::max_duration,
               [this, call, number = *keeper](grpc::Status const& status,
                                              request::lender_reply const& reply)
               { this->reply_received(call, number, status, reply); });
}

void token_lending::wait_for(std::shared_ptr<keeper_call> const& call, std::size_t keeper)
{
    call->reply_timeout.expires_after(request::quota_holder_round::reply_timeout);
    call->reply_timeout.async_wait(
        [this, call, keeper](asio::error_code const& problem)
        {
            if (problem || call->is_answered[keeper])
                return;
            this->contacts.reply_overdue(this->time.now(), call->keepers[keeper]);
            this->ask_next(call, call->round.reply_overdue(keeper));
        });
}

void token_lending::reply_received(std::shared_ptr<keeper_call> const& call, std::size_t keeper,
                             grpc::Status const& status, request::lender_reply const& reply)
{
    call->is_answered[keeper] = true;
    if (status.ok())
        this->contacts.reply_received(call->keepers[keeper]);
    else
        this->contacts.reply_overdue(this->time.now(), call->keepers[keeper]);
    // A later answer still brings its tokens.
    if (!call->done)
        return this->deposit(call->account, reply.lent);
    this->ask_next(call,
                   status.ok() ? call->round.reply_received(keeper, reply) : call->round.failed(keeper));
}

void token_lending::finish(keeper_call& call)
{
    if (!call.done)
        return;
    call.reply_timeout.cancel();
    call.expiry.cancel();
    std::exchange(call.done, {})(call.round.outcome());
}

} // namespace lagoonladder::daemon
