#ifndef LAGOONLADDER_DAEMON_TOKEN_LENDING_HPP
#define LAGOONLADDER_DAEMON_TOKEN_LENDING_HPP

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <vector>

#include <asio.hpp>

#include <lagoonladder/control.hpp>
#include <lagoonladder/request.hpp>

namespace lagoonladder::daemon
{

/// Asks other entries for tokens of an account's quota. Used on its event loop only.
class token_lending
{
public:
    using late_tokens = std::function<void(account_id const& account, double tokens)>;
    using handler = std::function<void(request::lending_outcome const&)>;

    /// `late` gets the tokens that came after their call had gone on.
    token_lending(std::shared_ptr<asio::io_context> loop, control::peer_channels& channels,
                  clock const& time_source, std::uint64_t seed, late_tokens late);

    /// Keepers that will be asked. Without connections to them the first calls would wait, or
    /// be refused when it takes too long.
    void expect(std::vector<network_address> const& keepers);
    /// Opens connections to some of the expected keepers. Called at a regular interval.
    void connect();

    /// Asks all lenders at once for a part each. `done` gets what came until it was enough
    /// for `missing` or all have answered.
    void ask_all(account_id const& account, std::vector<network_address> const& lenders,
                 double missing, handler done);
    /// Asks keepers for all that is missing, one after the other as `quota_holder_round` decides.
    void ask_keepers(account_id const& account, std::vector<network_address> keepers,
                     double missing, duration time_left, handler done);

private:
    struct keeper_call;

    void send(account_id const& account, network_address const& lender, double tokens,
              duration timeout,
              std::function<void(grpc::Status const&, request::lender_reply const&)> done);
    void ask_next(std::shared_ptr<keeper_call> const& call, std::optional<std::size_t> keeper);
    void wait_for(std::shared_ptr<keeper_call> const& call, std::size_t keeper);
    void reply_received(std::shared_ptr<keeper_call> const& call, std::size_t keeper,
                  grpc::Status const& status, request::lender_reply const& reply);
    /// Lets the call go on when its round is over.
    void finish(keeper_call& call);

    std::shared_ptr<asio::io_context> context;
    control::peer_channels& peers;
    clock const& time;
    seeded_random random;
    late_tokens deposit;
    request::lender_contacts contacts;
    std::set<network_address> expected;
    std::deque<network_address> unconnected;
};

} // namespace lagoonladder::daemon

#endif
