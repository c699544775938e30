#ifndef LAGOONLADDER_DAEMON_REMOTE_TOKEN_SOURCE_HPP
#define LAGOONLADDER_DAEMON_REMOTE_TOKEN_SOURCE_HPP

#include <completion_answer.hpp>
#include <completion_store.hpp>
#include <peer_channels.hpp>

namespace lagoonladder::daemon
{

/// Tokens of a request that other entries hold: its owner, its companion or, after
/// take-overs, any entry. An entry that stops answering is replaced by another one.
class remote_token_source : public token_source
{
public:
    remote_token_source(traffic_context& shared, completion_store& requests,
                        peer_channels& channels, request_id request, account_id caller);

    request::fetched read(token_offset offset) override;

private:
    std::vector<vm_id> candidates(control_view const& view) const;
    request::fetched fetch(vm_id const& vm, token_offset offset, duration wait);

    traffic_context& context;
    completion_store& store;
    peer_channels& peers;
    request_id const id;
    account_id const account;
    /// The entry that answered last.
    vm_id current;
    time_point last_found{};
};

} // namespace lagoonladder::daemon

#endif
