#include <lagoonladder/completion/problem.hpp>

#include <algorithm>

#include <lagoonladder/http.hpp>

namespace lagoonladder::completion
{

char const* to_string(execution value)
{
    switch (value)
    {
    case execution::no:
        return "no";
    case execution::yes:
        return "yes";
    case execution::unknown:
        return "unknown";
    }
    return "unknown";
}

std::string format_problem(problem const& value)
{
    nlohmann::json body{{"type", "urn:lagoonladder:problem:" + value.type},
                        {"title", http::reason_phrase(value.status)},
                        {"status", value.status},
                        {"detail", value.detail},
                        {"executed", to_string(value.executed)},
                        {"request_id", value.request_id}};
    if (!value.location.empty())
        body["location"] = value.location;
    // Invalid UTF-8 is replaced, because details may quote input of the caller.
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string format_retry_after(duration value)
{
    auto const whole_seconds = std::chrono::ceil<seconds>(value).count();
    return std::to_string(std::max<std::int64_t>(whole_seconds, 1));
}

} // namespace lagoonladder::completion
