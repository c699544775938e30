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

/// Accepted completions of this entry, shared by the traffic thread and the calls of
/// other entries. Safe to call from any thread.
class completion_store
{
public:
    using change_handler = std::function<void()>;

    explicit completion_store(traffic_context& shared);

    /// Owner: false when the store is full.
    bool accept(request::accepted_request request);
    /// Owner: the companion holds the request, or none can be reached; readers may go on.
    void release(request_id const& id);
    void confirm_progress(request_id const& id, token_offset next);
    std::optional<request::progress_batch> pending_progress(request_id const& id) const;
    std::vector<request_id> companion_lost(vm_id const& companion) const;

    /// Companion's side.
    request::journal_result hold(request::accepted_request request);
    request::journal_result progress(request_id const& id, request::progress_batch const& batch);
    std::vector<request::take_over> owner_lost(vm_id const& owner);

    /// The entry that works on the request adds tokens. False when another entry has it.
    bool append(request_id const& id, token_offset offset, std::vector<std::string> const& tokens);
    void finish(request_id const& id, request::request_outcome outcome);

    /// Tokens from `offset` on. Tokens of a request that its companion does not hold yet
    /// are not shown. When there is nothing to send, `changed` is called once, at the next
    /// change of the request, on any thread; it must not call the store.
    request::fetch_result read(request_id const& id, account_id const& account, token_offset offset,
                          change_handler changed = {});
    /// Whether a read is over: it has tokens or the outcome, or the request is not held.
    static bool is_worth_sending(request::fetch_result const& found);
    std::optional<request::holder_state> state_of(request_id const& id) const;
    std::optional<token_offset> next_offset(request_id const& id) const;

    /// Drops old requests.
    void expire();
    std::size_t size() const;

private:
    void notify(request_id const& id);

    traffic_context& context;
    mutable std::mutex mutex;
    request::request_journal journal;
    /// By request, so that a token wakes only the readers of its request.
    std::map<request_id, std::vector<change_handler>> handlers;
};

} // namespace lagoonladder::completion

#endif
