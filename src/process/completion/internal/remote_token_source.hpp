#ifndef LAGOONLADDER_COMPLETION_REMOTE_TOKEN_SOURCE_HPP
#define LAGOONLADDER_COMPLETION_REMOTE_TOKEN_SOURCE_HPP

#include <memory>
#include <vector>

#include <completion_store.hpp>
#include <lagoonladder/control.hpp>
#include <token_source.hpp>

namespace lagoonladder::completion
{

/// Tokens of a request that other entries hold: its owner, its companion or, after
/// take-overs, any entry. An entry that stops answering is replaced by another one.
class remote_token_source : public token_source,
                            public std::enable_shared_from_this<remote_token_source>
{
public:
    remote_token_source(traffic_context& shared, completion_store& requests,
                        peer_channels& channels, request_id request, account_id caller);

    void read(token_offset offset, handler done) override;

private:
    std::vector<vm_id> candidates(control_view const& view) const;
    void begin_round();
    void ask_next();
    void ask(vm_id const& vm);
    void take(vm_id const& vm, request::fetch_result found);

    traffic_context& context;
    completion_store& store;
    peer_channels& peers;
    request_id const id;
    account_id const account;
    /// The entry that answered last.
    vm_id current;
    time_point last_found{};
    bool was_found = false;
    token_offset next;
    handler waiting;
    /// Entries that are still to be asked in this round, the next one last.
    std::vector<vm_id> round;
};

} // namespace lagoonladder::completion

#endif
