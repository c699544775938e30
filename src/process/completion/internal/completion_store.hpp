#ifndef LAGOONLADDER_COMPLETION_COMPLETION_STORE_HPP
#define LAGOONLADDER_COMPLETION_COMPLETION_STORE_HPP

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include <lagoonladder/completion/traffic_context.hpp>

namespace lagoonladder::completion
{

/// Stores the accepted completions that this entry holds as owner or companion. Shared by the
/// traffic thread and the gRPC threads that serve other entries. Thread-safe.
class completion_store
{
public:
    using change_handler = std::function<void()>;

    explicit completion_store(traffic_context& shared_context);

    /// Called by the owner to store a new request. Returns false if the store is full.
    bool accept(request::accepted_request request);
    /// Called by the owner when the companion holds the request or no companion can be reached;
    /// from then on readers receive tokens.
    void release(request_id const& id);
    /// Called by the owner when the companion holds all tokens before `next`.
    void confirm_progress(request_id const& id, token_offset next);
    /// Tokens and outcome that the companion has not confirmed; no value if there are none.
    std::optional<request::progress_batch> pending_progress(request_id const& id) const;
    /// Unfinished requests of this owner that have the companion.
    std::vector<request_id> unfinished_with_companion(vm_id const& companion) const;

    /// Called by the companion to store a request for its owner.
    request::journal_result hold(request::accepted_request request);
    /// Called by the companion to store tokens or the outcome that the owner sent.
    request::journal_result add_progress(request_id const& id,
                                         request::progress_batch const& batch);
    /// Called by the companion when the owner is lost. Returns the unfinished requests of the
    /// owner, which this entry runs from now on. Each is returned once.
    std::vector<request::take_over> take_over_from(vm_id const& owner);

    /// Called by the entry that runs the request to add tokens. Returns false if another entry
    /// runs it now.
    bool append(request_id const& id, token_offset offset, std::vector<std::string> const& tokens);
    void finish(request_id const& id, request::request_outcome outcome);

    /// Returns the tokens from `offset` on. Tokens are withheld while the companion does not
    /// yet hold the request. If there is nothing to send, `on_change` is called once, at the next
    /// change of the request, on any thread. It must not call the store.
    request::fetch_result read(request_id const& id, account_id const& account, token_offset offset,
                               change_handler on_change = {});
    /// Whether the result has tokens or an outcome, or a status other than `found`.
    static bool is_worth_sending(request::fetch_result const& result);
    std::optional<request::holder_state> state_of(request_id const& id) const;
    std::optional<token_offset> next_offset(request_id const& id) const;

    /// Discards old requests and notifies the readers that wait for them.
    void expire();
    std::size_t size() const;

private:
    void notify(request_id const& id);

    traffic_context& context;
    mutable std::mutex mutex;
    request::request_journal journal;
    /// Handlers by request, so that a token notifies only the readers of its request.
    std::map<request_id, std::vector<change_handler>> handlers;
};

} // namespace lagoonladder::completion

#endif
