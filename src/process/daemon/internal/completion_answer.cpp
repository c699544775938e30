#include <completion_answer.hpp>

#include <charconv>

namespace lagoonladder::daemon
{

namespace
{

constexpr char const* event_stream = "text/event-stream";

void append_event(std::string& text, std::uint64_t offset, std::string_view data)
{
    char number[24];
    auto const end = std::to_chars(number, number + sizeof number, offset).ptr;
    text.append("id: ").append(number, end).append("\ndata: ").append(data).append("\n\n");
}

std::string final_events(answer_header const& header, request::request_outcome const& outcome)
{
    if (!outcome.failure.empty())
        return "event: error\ndata: " + outcome.failure + "\n\n";
    nlohmann::json choice{{"index", 0}, {"finish_reason", outcome.finish_reason}};
    if (header.is_chat)
        choice["delta"] = nlohmann::json::object();
    else
        choice["text"] = "";
    nlohmann::json const last{
        {"id", header.id},
        {"object", header.is_chat ? "chat.completion.chunk" : "text_completion"},
        {"model", header.service},
        {"choices", nlohmann::json::array({choice})}};
    return "data: " + last.dump() + "\n\ndata: [DONE]\n\n";
}

/// Text of one token's event.
std::string token_text(std::string const& data, bool is_chat)
{
    auto const event = nlohmann::json::parse(data, nullptr, false);
    if (!event.is_object() || !event.contains("choices") || event["choices"].empty())
        return {};
    auto const& choice = event["choices"][0];
    if (!is_chat)
        return choice.value("text", std::string());
    return choice.contains("delta") ? choice["delta"].value("content", std::string())
                                    : std::string();
}

/// Writes tokens as they arrive.
class answer_writer
{
public:
    answer_writer(std::shared_ptr<token_source> tokens, answer_header const& answer,
                  request::fetched already_read, token_offset offset)
        : source(std::move(tokens))
        , header(answer)
        , batch(std::move(already_read))
        , next(offset)
    {
    }

    bool operator()(httplib::DataSink& sink)
    {
        std::string text;
        for (auto const& token : this->batch.tokens)
        {
            append_event(text, this->next.value(), token);
            this->next = token_offset(this->next.value() + 1);
        }
        bool const is_over =
            this->batch.outcome || this->batch.status != request::fetch_status::found;
        if (this->batch.outcome)
            text += final_events(this->header, *this->batch.outcome);
        else if (text.empty() && !is_over)
            text = ": keep-alive\n\n";
        if (!text.empty() && !sink.write(text.data(), text.size()))
            return false;
        // Without an outcome the connection is broken off, so that the caller does
        // not take the tokens for the whole answer.
        if (is_over && !this->batch.outcome)
            return false;
        if (is_over)
            sink.done();
        else
            this->batch = this->source->read(this->next);
        return true;
    }

private:
    std::shared_ptr<token_source> source;
    answer_header header;
    request::fetched batch;
    token_offset next;
};

} // namespace

void stream_answer(httplib::Response& response, std::shared_ptr<token_source> source,
                   answer_header const& header, request::fetched first, token_offset offset,
                   std::shared_ptr<open_request> counted)
{
    response.set_header("Cache-Control", "no-store");
    auto const writer =
        std::make_shared<answer_writer>(std::move(source), header, std::move(first), offset);
    response.set_chunked_content_provider(
        event_stream, [writer, counted = std::move(counted)](std::size_t, httplib::DataSink& sink)
        { return (*writer)(sink); });
}

std::string whole_answer(token_source& source, answer_header const& header, request::fetched first,
                         request::request_outcome& outcome)
{
    std::string text;
    std::uint64_t count = 0;
    auto batch = std::move(first);
    while (true)
    {
        for (auto const& token : batch.tokens)
            text += token_text(token, header.is_chat);
        count += batch.tokens.size();
        if (batch.outcome || batch.status != request::fetch_status::found)
            break;
        batch = source.read(token_offset(count));
    }
    if (batch.outcome)
        outcome = *batch.outcome;
    nlohmann::json choice{{"index", 0}, {"finish_reason", outcome.finish_reason}};
    if (header.is_chat)
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    else
        choice["text"] = text;
    nlohmann::json const answer{{"id", header.id},
                                {"object", header.is_chat ? "chat.completion" : "text_completion"},
                                {"model", header.service},
                                {"choices", nlohmann::json::array({choice})},
                                {"usage", {{"completion_tokens", count}}}};
    return answer.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace lagoonladder::daemon
