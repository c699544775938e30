#ifndef LAGOONLADDER_PROXY_ANSWER_RELAY_HPP
#define LAGOONLADDER_PROXY_ANSWER_RELAY_HPP

#include <memory>
#include <optional>
#include <string>

#include <lagoonladder/http.hpp>
#include <lagoonladder/request.hpp>

namespace lagoonladder::proxy
{

/// Relays an endpoint's response to the caller: a small response in one piece, a larger one as its
/// bytes arrive, and a stream in complete events. Until the first byte is sent to the caller,
/// the response of another attempt may replace the present one.
class answer_relay
{
public:
    /// Responses above this size are passed on as their bytes arrive.
    static constexpr std::size_t max_buffered_bytes = 64 * 1024;

    /// `last_event` is the id of the event after which the caller's stream begins.
    answer_relay(std::shared_ptr<http::server_exchange> caller_exchange, bool is_stream,
                 std::optional<std::uint64_t> last_event);

    /// Begins a response, or the response that continues a broken stream. `length` is the stated
    /// length of its body in bytes. `ends_with_connection` states that the response has neither a
    /// length nor chunks.
    void start(http::response_head answer, std::optional<std::uint64_t> length,
               bool ends_with_connection);
    /// Adds bytes of the body. Returns false when they are malformed or do not continue the bytes
    /// that were passed on before; problem() then says why.
    bool add(std::string_view bytes);
    /// Why the bytes that were added last cannot be passed on.
    std::string const& problem() const { return this->error; }
    /// Completes the response to the caller at the end of the endpoint's. Returns false when it is
    /// incomplete, such as a stream that ends within an event.
    bool complete();
    /// Discards the bytes that were not passed on; a stream continues with the next start().
    void interrupt();

    /// The head was sent to the caller, so that no other response can replace this one.
    bool is_committed() const { return this->committed; }
    /// Part of the body of the response that was started last has been received.
    bool has_content() const { return this->has_received_content; }
    /// All events of the stream so far had ids, so that it can continue after the last one.
    bool can_continue() const { return this->is_streaming && this->all_events_have_ids; }
    std::optional<std::uint64_t> last_event() const { return this->last_event_id; }
    /// Number of complete events that were received, also those that the caller has already.
    std::size_t event_count() const { return this->received_events; }
    unsigned status() const { return this->head.status; }

private:
    void commit(std::optional<std::uint64_t> length);
    void relay_event(request::event_splitter::event const& event);

    std::shared_ptr<http::server_exchange> exchange;
    bool const expects_stream;
    http::response_head head;
    std::optional<std::uint64_t> stated_length;
    std::string buffered_bytes;
    request::event_splitter splitter;
    std::optional<std::uint64_t> last_event_id;
    std::size_t received_events = 0;
    std::string error;
    bool is_streaming = false;
    bool all_events_have_ids = true;
    bool committed = false;
    bool has_received_content = false;
    bool is_continued = false;
    bool is_ended_by_connection = false;
    bool is_broken = false;
};

} // namespace lagoonladder::proxy

#endif
