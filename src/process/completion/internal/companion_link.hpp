#ifndef LAGOONLADDER_COMPLETION_COMPANION_LINK_HPP
#define LAGOONLADDER_COMPLETION_COMPANION_LINK_HPP

#include <condition_variable>
#include <map>
#include <mutex>

#include <completion_store.hpp>
#include <lagoonladder/control.hpp>
#include <traffic_entries.hpp>

namespace lagoonladder::protocol
{
class StoreRequest;
}

namespace lagoonladder::completion
{

/// Keeps the companions of the requests that this entry works on up to date.
/// Safe to call from any thread.
class companion_link
{
public:
    companion_link(traffic_context& shared, completion_store& requests, traffic_entries& known);
    ~companion_link();
    companion_link(companion_link const&) = delete;
    companion_link& operator=(companion_link const&) = delete;

    /// Sends the request to its companion. The store releases the answer when the
    /// companion holds the request or when no companion can be reached.
    void track(request::accepted_request const& request);

    /// Tokens or the outcome were added to the store.
    void updated(request_id const& id, token_offset next, bool is_finished);

    /// Sends what is due and replaces companions that are gone. Call every 50 ms.
    void tick();

    /// Whether a companion lacks something or has not confirmed it.
    bool is_busy() const;

    /// Waits for the calls in progress; none is started afterwards.
    void stop();

private:
    struct tracked
    {
        request::accepted_request request;
        connection::entry_record companion;
        std::uint32_t tries = 0;
        bool is_held = false;
        bool in_flight = false;
        bool is_finished = false;
        token_offset known_next;
        token_offset companion_next;
        time_point last_sent{};
    };

    void send_store(request_id const& id);
    void store_ended(request_id const& id, bool is_held);
    void give_up(request_id const& id, std::string const& reason);
    void send_progress(request_id const& id);
    void progress_ended(request_id const& id, std::optional<token_offset> next, bool had_outcome);
    bool is_due(tracked const& known, time_point now) const;
    std::optional<connection::entry_record> pick(tracked const& known);
    bool begin_call();
    void end_call();

    traffic_context& context;
    completion_store& store;
    traffic_entries& entries;
    peer_channels peers;
    mutable std::mutex mutex;
    std::condition_variable ended;
    std::map<request_id, tracked> requests;
    std::uint32_t calls = 0;
    bool stopping = false;
};

/// Fields of the Store call and back.
protocol::StoreRequest to_message(request::accepted_request const& request);
request::accepted_request from_message(protocol::StoreRequest const& message);

} // namespace lagoonladder::completion

#endif
