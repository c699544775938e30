#include <at_most_once_status.hpp>

#include <cctype>

#include <lagoonladder/completion/problem.hpp>

namespace lagoonladder::completion
{

namespace
{

std::pair<char const*, execution> state_of(request::at_most_once_verdict verdict)
{
    switch (verdict)
    {
    case request::at_most_once_verdict::answered:
        return {"done", execution::yes};
    case request::at_most_once_verdict::refused:
        return {"refused", execution::no};
    case request::at_most_once_verdict::in_progress:
    case request::at_most_once_verdict::granted:
        return {"in_progress", execution::unknown};
    case request::at_most_once_verdict::outcome_unknown:
    case request::at_most_once_verdict::conflict:
        break;
    }
    return {"unknown", execution::unknown};
}

} // namespace

std::string percent_encoded(std::string const& text)
{
    static constexpr char digits[] = "0123456789ABCDEF";
    std::string encoded;
    for (unsigned char const c : text)
    {
        if (std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == '~')
        {
            encoded += static_cast<char>(c);
            continue;
        }
        encoded += '%';
        encoded += digits[c >> 4];
        encoded += digits[c & 15];
    }
    return encoded;
}

std::string at_most_once_location(request_id const& id, request::at_most_once_key const& key)
{
    return "/v1/requests/" + percent_encoded(id.value()) +
           "?service=" + percent_encoded(key.service.value()) +
           "&key=" + percent_encoded(key.key.value());
}

std::string format_at_most_once_status(request::at_most_once_key const& key,
                                       request::at_most_once_reply const& reply)
{
    auto const [state, executed] = state_of(reply.verdict);
    nlohmann::json body{{"service", key.service},
                        {"key", key.key},
                        {"request_id", reply.attempt},
                        {"state", state},
                        {"executed", to_string(executed)}};
    if (reply.answer)
        body["answer"] = {{"status", reply.answer->status},
                          {"content_type", reply.answer->content_type},
                          {"body", reply.answer->body}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace lagoonladder::completion
