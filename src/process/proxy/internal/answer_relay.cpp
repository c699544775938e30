#include "answer_relay.hpp"

namespace lagoonladder::proxy
{

answer_relay::answer_relay(std::shared_ptr<http::server_exchange> caller_exchange, bool is_stream,
                           std::optional<std::uint64_t> last_event)
    : exchange(std::move(caller_exchange))
    , expects_stream(is_stream)
    , last_event_id(last_event)
{
}

void answer_relay::start(http::response_head answer, std::optional<std::uint64_t> length,
                         bool ends_with_connection)
{
    this->is_ended_by_connection = ends_with_connection;
    this->has_received_content = false;
    this->is_continued = this->committed;
    // Only a successful response can continue a stream; the body of any other would corrupt it.
    this->is_broken = this->committed && answer.status != 200;
    // A continued stream keeps the head that was already sent to the caller.
    if (this->committed)
        return;
    this->stated_length = length;
    this->is_streaming = this->expects_stream && answer.status == 200;
    this->head = std::move(answer);
}

bool answer_relay::add(std::string_view bytes)
{
    this->has_received_content = true;
    if (this->is_streaming)
    {
        bool const is_within_limit =
            this->splitter.add(bytes, [this](request::event_splitter::event const& event)
                               { this->relay_event(event); });
        if (!is_within_limit)
            this->error = "an event exceeds " +
                          std::to_string(request::event_splitter::max_event_bytes) + " bytes";
        else if (this->is_broken)
            this->error = "the response does not continue the stream";
        return is_within_limit && !this->is_broken;
    }
    if (this->committed)
    {
        this->exchange->write(bytes);
        return true;
    }
    this->buffered_bytes += bytes;
    if (this->buffered_bytes.size() > max_buffered_bytes)
    {
        this->commit(this->stated_length);
        this->exchange->write(std::exchange(this->buffered_bytes, {}));
    }
    return true;
}

void answer_relay::relay_event(request::event_splitter::event const& event)
{
    ++this->received_events;
    if (!event.id)
        this->all_events_have_ids = false;
    if (event.id && this->is_continued && this->last_event_id)
    {
        // The new attempt may repeat events that the caller already has.
        if (*event.id <= *this->last_event_id)
            return;
        if (*event.id != *this->last_event_id + 1)
            this->is_broken = true;
    }
    if (this->is_broken)
        return;
    if (event.id)
        this->last_event_id = event.id;
    if (!this->committed)
        this->commit(std::nullopt);
    this->exchange->write(event.bytes);
}

void answer_relay::commit(std::optional<std::uint64_t> length)
{
    this->committed = true;
    this->exchange->begin(this->head, length);
}

bool answer_relay::complete()
{
    if (this->is_streaming)
    {
        // Bytes after the last complete event belong to an event that was cut off.
        if (this->splitter.has_partial() || this->is_broken)
            return false;
        // The endpoint may have ended before its first event; only the end of the chunks would show
        // that there is none.
        if (this->is_ended_by_connection && this->received_events == 0)
            return false;
        if (!this->committed)
            this->commit(std::nullopt);
        this->exchange->finish();
        return true;
    }
    if (this->committed)
        this->exchange->finish();
    else
        this->exchange->respond(this->head, this->buffered_bytes);
    this->committed = true;
    return true;
}

void answer_relay::interrupt()
{
    this->buffered_bytes.clear();
    this->splitter = {};
    this->has_received_content = false;
}

} // namespace lagoonladder::proxy
