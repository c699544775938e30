#ifndef LAGOONLADDER_COMPLETION_REMOTE_TOKEN_SOURCE_HPP
#define LAGOONLADDER_COMPLETION_REMOTE_TOKEN_SOURCE_HPP

#include <memory>
#include <vector>

#include <completion_store.hpp>
#include <lagoonladder/control.hpp>
#include <token_source.hpp>

namespace lagoonladder::completion
{

/// Reads the tokens of a request that other entries hold: its owner, its companion or, after
/// take-overs, any entry. If an entry stops replying, other entries are queried.
class remote_token_source : public token_source,
                            public std::enable_shared_from_this<remote_token_source>
{
public:
    remote_token_source(traffic_context& shared_context, completion_store& request_store,
                        peer_channels& channels, request_id request, account_id request_account);

    void read(token_offset offset, handler done) override;

private:
    std::vector<vm_id> candidates(control_view const& view) const;
    /// Queries the candidates one after the other until one of them holds the request.
    void begin_round();
    void query_next();
    void query_entry(vm_id const& vm);
    void handle_result(vm_id const& vm, request::fetch_result result);

    traffic_context& context;
    completion_store& store;
    peer_channels& peers;
    request_id const id;
    account_id const account;
    /// The entry that sent the latest tokens.
    vm_id current;
    time_point last_found{};
    /// Whether an entry held the request during this read or the previous one.
    bool was_found = false;
    token_offset next;
    handler pending_handler;
    /// Entries that are still to be queried in this round, the next one last.
    std::vector<vm_id> remaining_candidates;
};

} // namespace lagoonladder::completion

#endif
