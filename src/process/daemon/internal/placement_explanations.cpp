#include "placement_explanations.hpp"

#include <charconv>

namespace lagoonladder::daemon
{

namespace
{

/// Longest time that a query may state for its caller.
constexpr std::uint64_t max_deadline_ms = 24 * 60 * 60 * 1000;
constexpr std::size_t max_prompt_parts = 1000;

completion::refusal bad_query(std::string detail)
{
    return completion::refusal(
        {400, "bad-request", std::move(detail), completion::execution::no, {}, seconds(1), {}});
}

std::uint64_t read_count(nlohmann::json const& value, std::string const& field)
{
    if (!value.is_number_unsigned())
        throw bad_query("field \"" + field + "\" is not an integer of at least 0");
    return value.get<std::uint64_t>();
}

std::string read_text(nlohmann::json const& in, char const* field)
{
    auto const found = in.find(field);
    if (found == in.end() || !found->is_string() || found->get_ref<std::string const&>().empty())
        throw bad_query("field \"" + std::string(field) + "\" is not a text of at least one byte");
    return found->get<std::string>();
}

std::uint64_t read_hash(nlohmann::json const& part)
{
    auto const text = read_text(part, "hash");
    std::uint64_t hash = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, hash, 16);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        throw bad_query("field \"hash\" of a prompt part is not a hexadecimal number of 64 bits");
    return hash;
}

request::prompt_parts read_prompt(nlohmann::json const& parts)
{
    if (!parts.is_array() || parts.size() > max_prompt_parts)
        throw bad_query("field \"prompt\" is not a list of at most " +
                        std::to_string(max_prompt_parts) + " parts");
    request::prompt_parts prompt;
    for (auto const& part : parts)
    {
        if (!part.is_object() || !part.contains("tokens"))
            throw bad_query("a prompt part has no \"hash\" or no \"tokens\"");
        prompt.push_back({read_hash(part), read_count(part["tokens"], "tokens")});
    }
    return prompt;
}

proxy::token_counts read_tokens(nlohmann::json const& tokens)
{
    if (!tokens.is_object() || !tokens.contains("prompt") || !tokens.contains("max_output"))
        throw bad_query("field \"tokens\" has no \"prompt\" or no \"max_output\"");
    return {read_count(tokens["prompt"], "tokens.prompt"),
            read_count(tokens["max_output"], "tokens.max_output")};
}

duration read_deadline(nlohmann::json const& value)
{
    auto const count = read_count(value, "deadline_ms");
    if (count > max_deadline_ms)
        throw bad_query("field \"deadline_ms\" is more than " + std::to_string(max_deadline_ms));
    return milliseconds(static_cast<std::int64_t>(count));
}

void respond(completion::api_exchange& exchange, explanation_reply const& reply)
{
    bool const is_answered = reply.problem.empty();
    auto const body = is_answered ? reply.body : nlohmann::json{{"detail", reply.problem}};
    // Ids that endpoints announce need not be valid UTF-8.
    exchange.respond_json(is_answered ? 200 : 400,
                          body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace

proxy::placement_query parse_placement_query(std::string const& body)
{
    auto const in = nlohmann::json::parse(body, nullptr, false);
    if (!in.is_object())
        throw bad_query("the body is not a JSON object");
    proxy::placement_query query;
    query.host = read_text(in, "host");
    query.path = read_text(in, "path");
    if (query.path.front() != '/')
        throw bad_query("field \"path\" does not begin with /");
    if (in.contains("account"))
        query.account = account_id(read_text(in, "account"));
    if (in.contains("tokens"))
        query.tokens = read_tokens(in["tokens"]);
    if (in.contains("prompt"))
        query.prompt = read_prompt(in["prompt"]);
    if (in.contains("deadline_ms"))
        query.time_left = read_deadline(in["deadline_ms"]);
    return query;
}

void explain_placement(placement_explainer* explainer,
                       std::shared_ptr<completion::api_exchange> const& exchange)
{
    auto query = parse_placement_query(exchange->body());
    if (explainer == nullptr)
        throw completion::refusal({404, "no-pass-through", "this entry has no pass-through calls",
                                   completion::execution::no});
    std::function<void(explanation_reply const&)> const done =
        [exchange](explanation_reply const& reply) { respond(*exchange, reply); };
    explainer->explain(std::move(query), completion::on_loop(exchange->loop(), done));
}

} // namespace lagoonladder::daemon
