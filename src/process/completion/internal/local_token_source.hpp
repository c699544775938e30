#ifndef LAGOONLADDER_COMPLETION_LOCAL_TOKEN_SOURCE_HPP
#define LAGOONLADDER_COMPLETION_LOCAL_TOKEN_SOURCE_HPP

#include <memory>

#include <completion_store.hpp>
#include <token_source.hpp>

namespace lagoonladder::completion
{

/// Reads the tokens of a request that this entry holds.
class local_token_source : public token_source,
                           public std::enable_shared_from_this<local_token_source>
{
public:
    local_token_source(std::shared_ptr<asio::io_context> const& event_loop,
                       completion_store& request_store, request_id request,
                       account_id request_account);

    void read(token_offset offset, handler done) override;

private:
    void check_store();
    void finish(request::fetch_result result);

    std::weak_ptr<asio::io_context> loop;
    completion_store& store;
    request_id const id;
    account_id const account;
    asio::steady_timer timer;
    token_offset next;
    handler pending_handler;
    /// Whether the store will notify this source of the next change.
    bool is_listening = false;
};

} // namespace lagoonladder::completion

#endif
