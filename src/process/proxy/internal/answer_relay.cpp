#include "answer_relay.hpp"

namespace lagoonladder::proxy
{

answer_relay::answer_relay(std::shared_ptr<http::server_exchange> to, bool is_stream,
                           std::optional<std::uint64_t> last_event)
    : exchange(std::move(to))
    , expects_stream(is_stream)
    , last_id(last_event)
{
}

void answer_relay::start(http::response_head answer, std::optional<std::uint64_t> length)
{
    this->content_seen = false;
    this->is_continued = this->committed;
    // Only a stream continues a stream: the body of another answer has no place in it.
    this->is_broken = this->committed && answer.status != 200;
    // A continued stream keeps the head that the caller has.
    if (this->committed)
        return;
    this->stated_length = length;
    this->streams = this->expects_stream && answer.status == 200;
    this->head = std::move(answer);
}

bool answer_relay::add(std::string_view bytes)
{
    this->content_seen = true;
    if (this->streams)
    {
        bool const fits = this->splitter.add(
            bytes, [this](request::event_splitter::event const& one) { this->take_event(one); });
        if (!fits)
            this->malformation = "an event exceeds " +
                                 std::to_string(request::event_splitter::max_event_bytes) +
                                 " bytes";
        else if (this->is_broken)
            this->malformation = "the answer does not continue the stream";
        return fits && !this->is_broken;
    }
    if (this->committed)
    {
        this->exchange->write(bytes);
        return true;
    }
    this->held += bytes;
    if (this->held.size() > max_held_bytes)
    {
        this->commit(this->stated_length);
        this->exchange->write(std::exchange(this->held, {}));
    }
    return true;
}

void answer_relay::take_event(request::event_splitter::event const& event)
{
    if (!event.id)
        this->has_ids = false;
    if (event.id && this->is_continued && this->last_id)
    {
        // The new run may repeat events that the caller has.
        if (*event.id <= *this->last_id)
            return;
        if (*event.id != *this->last_id + 1)
            this->is_broken = true;
    }
    if (this->is_broken)
        return;
    if (event.id)
        this->last_id = event.id;
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
    if (this->streams)
    {
        // Bytes behind the last event are part of an event that was cut off.
        if (this->splitter.has_partial() || this->is_broken)
            return false;
        if (!this->committed)
            this->commit(std::nullopt);
        this->exchange->finish();
        return true;
    }
    if (this->committed)
        this->exchange->finish();
    else
        this->exchange->respond(this->head, this->held);
    this->committed = true;
    return true;
}

void answer_relay::interrupt()
{
    this->held.clear();
    this->splitter = {};
    this->content_seen = false;
}

} // namespace lagoonladder::proxy
