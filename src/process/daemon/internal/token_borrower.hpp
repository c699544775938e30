#ifndef LAGOONLADDER_DAEMON_TOKEN_BORROWER_HPP
#define LAGOONLADDER_DAEMON_TOKEN_BORROWER_HPP

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

/// Borrows tokens of an account's quota from other entries. Used on its event loop only.
class token_borrower
{
public:
    using late_tokens_handler = std::function<void(account_id const& account, double tokens)>;
    using handler = std::function<void(request::lending_outcome const&)>;

    /// `on_late_tokens` receives the tokens of replies of entries with a portion of their own that
    /// arrive after their call was given its result. Those of quota holders are returned to them.
    token_borrower(std::shared_ptr<asio::io_context> loop, control::peer_channels& channels,
                   clock const& time_source, std::uint64_t seed,
                   late_tokens_handler on_late_tokens);

    /// Adds quota holders that tokens will be borrowed from, so that connections to them are opened
    /// ahead. Otherwise the first calls would wait for a connection, or be refused when that takes
    /// too long.
    void add_quota_holders(std::vector<network_address> const& quota_holders);
    /// Opens connections to some of the quota holders that have none yet. Called at a regular
    /// interval.
    void open_connections();

    /// Requests a fraction of the tokens from each lender, all at the same time. `done` receives
    /// the tokens lent so far as soon as they cover those that are missing or all lenders have
    /// replied.
    void request_from_all(account_id const& account, std::vector<network_address> const& lenders,
                          request::token_shortage const& shortage, handler done);
    /// Requests all missing tokens from one quota holder after the other, in the way that
    /// `quota_holder_round` decides.
    void request_from_quota_holders(account_id const& account,
                                    std::vector<network_address> quota_holders, double missing,
                                    duration time_left, handler done);

private:
    struct quota_holder_request;

    void send(account_id const& account, network_address const& lender, double tokens,
              duration timeout,
              std::function<void(grpc::Status const&, request::lender_reply const&)> done);
    /// Returns the tokens of a late reply to the quota holder that lent them. They are lost when
    /// the message is.
    void return_tokens(account_id const& account, network_address const& lender, double tokens);
    void request_next(std::shared_ptr<quota_holder_request> const& call,
                      std::optional<std::size_t> quota_holder);
    void start_reply_timeout(std::shared_ptr<quota_holder_request> const& call,
                             std::size_t quota_holder);
    void reply_received(std::shared_ptr<quota_holder_request> const& call, std::size_t quota_holder,
                        grpc::Status const& status, request::lender_reply const& reply);
    /// Passes the outcome of the round to the call, unless that has happened before.
    void finish(quota_holder_request& call);

    std::shared_ptr<asio::io_context> context;
    control::peer_channels& peers;
    clock const& time;
    seeded_random random;
    late_tokens_handler deposit_late_tokens;
    request::lender_contacts contacts;
    std::set<network_address> known_quota_holders;
    std::deque<network_address> unconnected_quota_holders;
};

} // namespace lagoonladder::daemon

#endif
