#ifndef LAGOONLADDER_COMPLETION_COMPANION_LINK_HPP
#define LAGOONLADDER_COMPLETION_COMPANION_LINK_HPP

#include <condition_variable>
#include <map>
#include <mutex>

#include <completion_store.hpp>
#include <entry_selector.hpp>
#include <lagoonladder/control.hpp>

namespace lagoonladder::protocol
{
class StoreRequest;
}

namespace lagoonladder::completion
{

/// Sends the requests that this entry runs, and their progress, to their companions.
/// Thread-safe.
class companion_link
{
public:
    companion_link(traffic_context& shared_context, completion_store& request_store,
                   entry_selector& selector);
    ~companion_link();
    companion_link(companion_link const&) = delete;
    companion_link& operator=(companion_link const&) = delete;

    /// Sends the request to its companion. The store releases the answer to readers when the
    /// companion holds the request or no companion can be reached.
    void track(request::accepted_request const& request);

    /// Must be called after tokens or the outcome were added to the store.
    void updated(request_id const& id, token_offset next, bool is_finished);

    /// Sends due progress and replaces lost companions. Must be called about every 50 ms.
    void tick();

    /// Whether any companion lacks data or has not yet confirmed it.
    bool is_busy() const;

    /// Waits for the calls in progress. No call is started afterwards.
    void stop();

private:
    /// A request and the part of it that its companion holds.
    struct request_replication
    {
        request::accepted_request request;
        connection::entry_record companion;
        std::uint32_t store_attempts = 0;
        bool is_held = false;
        bool has_call_in_progress = false;
        bool is_finished = false;
        /// Offset of the next token to be added to the store of this entry.
        token_offset local_next;
        /// Offset of the first token that the companion has not confirmed.
        token_offset companion_next;
        time_point last_sent{};
    };

    void send_store(request_id const& id);
    void store_ended(request_id const& id, bool is_held);
    void release_without_companion(request_id const& id, std::string const& reason);
    void send_progress(request_id const& id);
    void progress_ended(request_id const& id, std::optional<token_offset> next, bool had_outcome);
    bool is_due(request_replication const& tracked_request, time_point now) const;
    std::optional<connection::entry_record>
    choose_companion(request_replication const& tracked_request);
    bool begin_call();
    void end_call();

    traffic_context& context;
    completion_store& store;
    entry_selector& entries;
    peer_channels peers;
    mutable std::mutex mutex;
    std::condition_variable call_ended;
    std::map<request_id, request_replication> requests;
    std::uint32_t call_count = 0;
    bool is_stopping = false;
};

/// Convert between a request and the message of the Store call.
protocol::StoreRequest to_message(request::accepted_request const& request);
request::accepted_request from_message(protocol::StoreRequest const& message);

} // namespace lagoonladder::completion

#endif
