#include <completion_answer.hpp>

#include <charconv>

namespace lagoonladder::completion
{

namespace
{

constexpr char const* event_stream = "text/event-stream";

// Limit of unsent data of a caller that reads slowly, in addition to the socket's own buffer.
constexpr std::size_t max_unsent_bytes = 64 * 1024;

// Time to write all unsent data to the socket, from when it exceeds max_unsent_bytes on. After that
// the caller is considered disconnected. It can fetch the remaining tokens later.
constexpr duration unsent_data_timeout = seconds(10);

void append_event(std::string& text, std::uint64_t offset, std::string_view data)
{
    char number[24];
    auto const end = std::to_chars(number, number + sizeof number, offset).ptr;
    text.append("id: ").append(number, end).append("\ndata: ").append(data).append("\n\n");
}

std::string final_events(answer_properties const& properties,
                         request::request_outcome const& outcome)
{
    if (!outcome.failure.empty())
        return "event: error\ndata: " + outcome.failure + "\n\n";
    nlohmann::json choice{{"index", 0}, {"finish_reason", outcome.finish_reason}};
    if (properties.is_chat)
        choice["delta"] = nlohmann::json::object();
    else
        choice["text"] = "";
    nlohmann::json const last{
        {"id", properties.id},
        {"object", properties.is_chat ? "chat.completion.chunk" : "text_completion"},
        {"model", properties.service},
        {"choices", nlohmann::json::array({choice})}};
    return "data: " + last.dump() + "\n\ndata: [DONE]\n\n";
}

/// Extracts the generated text from the JSON event of a token.
std::string token_text(std::string const& event_json, bool is_chat)
{
    auto const event = nlohmann::json::parse(event_json, nullptr, false);
    if (!event.is_object() || !event.contains("choices") || event["choices"].empty())
        return {};
    auto const& choice = event["choices"][0];
    if (!is_chat)
        return choice.value("text", std::string());
    return choice.contains("delta") ? choice["delta"].value("content", std::string())
                                    : std::string();
}

std::string format_complete_answer(answer_properties const& properties, std::string const& text,
                                   std::uint64_t tokens, std::string const& finish_reason)
{
    nlohmann::json choice{{"index", 0}, {"finish_reason", finish_reason}};
    if (properties.is_chat)
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    else
        choice["text"] = text;
    nlohmann::json const answer{
        {"id", properties.id},
        {"object", properties.is_chat ? "chat.completion" : "text_completion"},
        {"model", properties.service},
        {"choices", nlohmann::json::array({choice})},
        {"usage", {{"completion_tokens", tokens}}}};
    return answer.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Writes tokens to the caller as they arrive.
class answer_stream : public std::enable_shared_from_this<answer_stream>
{
public:
    answer_stream(std::shared_ptr<api_exchange> caller_exchange,
                  std::shared_ptr<token_source> answer_source, answer_properties request_properties,
                  token_offset offset, std::shared_ptr<open_request> guard)
        : exchange(std::move(caller_exchange))
        , source(std::move(answer_source))
        , properties(std::move(request_properties))
        , next(offset)
        , request_guard(std::move(guard))
    {
    }

    void start(request::fetch_result const& first)
    {
        this->exchange->set_header("Cache-Control", "no-store");
        this->exchange->begin(event_stream);
        this->exchange->on_closed(
            [weak = this->weak_from_this()]
            {
                if (auto const self = weak.lock())
                    self->end();
            });
        this->exchange->on_drained(
            [self = this->shared_from_this()]
            {
                if (std::exchange(self->is_paused, false))
                    self->read_next();
            });
        this->handle_batch(first);
    }

private:
    void handle_batch(request::fetch_result const& batch)
    {
        if (this->has_ended)
            return;
        std::string text;
        for (auto const& event_json : batch.tokens)
        {
            append_event(text, this->next.value(), event_json);
            this->next = token_offset(this->next.value() + 1);
        }
        if (batch.outcome)
            text += final_events(this->properties, *batch.outcome);
        bool const is_lost = batch.status != request::fetch_status::found;
        if (text.empty() && !is_lost)
            text = ": keep-alive\n\n";
        if (!text.empty())
            this->exchange->write(text);
        if (!batch.outcome && !is_lost)
            return this->read_next();
        // Without an outcome the connection is closed, so that the caller does not mistake
        // the tokens for the complete answer.
        if (batch.outcome)
            this->exchange->finish();
        else
            this->exchange->abort();
        this->end();
    }

    void read_next()
    {
        if (this->has_ended)
            return;
        if (this->exchange->unsent_bytes() > max_unsent_bytes)
            return this->pause_reading();
        this->source->read(this->next,
                           [self = this->shared_from_this()](request::fetch_result const& batch)
                           { self->handle_batch(batch); });
    }

    /// Waits until all queued data has been written to the socket, or aborts the response after
    /// unsent_data_timeout.
    void pause_reading()
    {
        this->is_paused = true;
        this->exchange->run_later(unsent_data_timeout,
                                  [weak = this->weak_from_this(), count = ++this->pause_count]
                                  {
                                      auto const self = weak.lock();
                                      if (!self || !self->is_paused || self->pause_count != count)
                                          return;
                                      self->exchange->abort();
                                      self->end();
                                  });
    }

    void end()
    {
        this->has_ended = true;
        this->request_guard.reset();
        // The handler in the source holds a reference to this stream.
        this->source.reset();
    }

    std::shared_ptr<api_exchange> const exchange;
    std::shared_ptr<token_source> source;
    answer_properties const properties;
    token_offset next;
    std::shared_ptr<open_request> request_guard;
    bool is_paused = false;
    std::uint64_t pause_count = 0;
    bool has_ended = false;
};

/// Collects the tokens of an answer that is sent as one JSON text.
class answer_collector : public std::enable_shared_from_this<answer_collector>
{
public:
    answer_collector(std::shared_ptr<api_exchange> caller_exchange,
                     std::shared_ptr<token_source> answer_source,
                     answer_properties request_properties, std::shared_ptr<open_request> guard)
        : exchange(std::move(caller_exchange))
        , source(std::move(answer_source))
        , properties(std::move(request_properties))
        , request_guard(std::move(guard))
    {
    }

    void handle_batch(request::fetch_result const& batch)
    {
        for (auto const& event_json : batch.tokens)
            this->text += token_text(event_json, this->properties.is_chat);
        this->token_count += batch.tokens.size();
        if (!batch.outcome && batch.status == request::fetch_status::found)
            return this->source->read(
                token_offset(this->token_count),
                [self = this->shared_from_this()](request::fetch_result const& more)
                { self->handle_batch(more); });
        if (!batch.outcome)
            return this->exchange->refuse({500, "internal", "the request is no longer stored",
                                           execution::unknown, this->properties.id.value()});
        if (!batch.outcome->failure.empty())
            return send_failure(*this->exchange, *batch.outcome);
        this->exchange->respond_json(200, format_complete_answer(this->properties, this->text,
                                                                 this->token_count,
                                                                 batch.outcome->finish_reason));
    }

private:
    std::shared_ptr<api_exchange> const exchange;
    std::shared_ptr<token_source> const source;
    answer_properties const properties;
    std::shared_ptr<open_request> const request_guard;
    std::string text;
    std::uint64_t token_count = 0;
};

} // namespace

void stream_answer(std::shared_ptr<api_exchange> exchange, std::shared_ptr<token_source> source,
                   answer_properties const& properties, request::fetch_result first,
                   token_offset offset, std::shared_ptr<open_request> request_guard)
{
    std::make_shared<answer_stream>(std::move(exchange), std::move(source), properties, offset,
                                    std::move(request_guard))
        ->start(first);
}

void send_buffered_answer(std::shared_ptr<api_exchange> exchange,
                          std::shared_ptr<token_source> source, answer_properties const& properties,
                          request::fetch_result first, std::shared_ptr<open_request> request_guard)
{
    std::make_shared<answer_collector>(std::move(exchange), std::move(source), properties,
                                       std::move(request_guard))
        ->handle_batch(first);
}

void send_failure(api_exchange& exchange, request::request_outcome const& outcome)
{
    exchange.set_header("Retry-After", "1");
    exchange.respond(outcome.failure_status, "application/problem+json", outcome.failure);
}

} // namespace lagoonladder::completion
