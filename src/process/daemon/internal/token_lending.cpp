#include "token_lending.hpp"

#include <algorithm>
#include <random>

#include <control.grpc.pb.h>

#include <lagoonladder/request.hpp>

namespace lagoonladder::daemon
{

namespace
{

/// Longer than a message to another region and back; a call that waits for it is rare.
constexpr duration lend_timeout = milliseconds(60);

/// Tokens that the other entries give for one call.
struct lending_round
{
    double missing = 0;
    double lent = 0;
    std::size_t open = 0;
    /// Empty once the call has gone on.
    std::function<void(double)> done;
};

} // namespace

token_lending::token_lending(std::shared_ptr<asio::io_context> loop,
                             control::peer_channels& channels, std::uint64_t seed, late_tokens late)
    : context(std::move(loop))
    , peers(channels)
    , random(seed)
    , deposit(std::move(late))
{
}

void token_lending::ask_all(account_id const& account, std::vector<network_address> const& lenders,
                            double missing, std::function<void(double)> done)
{
    auto const part = request::account_quota::part_to_ask(missing, lenders.size());
    this->ask(account, lenders, missing, part, std::move(done));
}

void token_lending::ask_keepers(account_id const& account, std::vector<network_address> keepers,
                                double missing, std::function<void(double)> done)
{
    std::shuffle(keepers.begin(), keepers.end(), std::mt19937_64(this->random.next()));
    this->ask(account, {keepers.front()}, missing, missing,
              [this, account, keepers, missing, done = std::move(done)](double lent)
              {
                  if (lent >= missing || keepers.size() < 2)
                      return done(lent);
                  this->ask(account, {keepers[1]}, missing, missing, done);
              });
}

void token_lending::ask(account_id const& account, std::vector<network_address> const& lenders,
                        double missing, double part, std::function<void(double)> done)
{
    auto const round = std::make_shared<lending_round>();
    round->missing = missing;
    round->open = lenders.size();
    round->done = std::move(done);
    if (lenders.empty())
        return asio::post(*this->context, [round] { round->done(0); });
    protocol::LendRequest request;
    request.set_account(account.value());
    request.set_tokens(part);
    for (auto const& lender : lenders)
    {
        std::shared_ptr stub = protocol::Quotas::NewStub(this->peers.channel(lender));
        control::call_async<protocol::LendReply>(
            this->context, this->peers, lend_timeout, request,
            [stub](auto* call, auto const* sent, auto* reply, auto finished)
            { stub->async()->Lend(call, sent, reply, std::move(finished)); },
            [this, stub, account, round](grpc::Status const& status, protocol::LendReply& reply)
            {
                auto const lent = status.ok() ? reply.tokens() : 0;
                // A later answer still brings its tokens.
                if (!round->done)
                    return this->deposit(account, lent);
                round->lent += lent;
                if (--round->open == 0 || round->lent >= round->missing)
                    std::exchange(round->done, {})(round->lent);
            });
    }
}

} // namespace lagoonladder::daemon
