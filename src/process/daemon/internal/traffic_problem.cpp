#include <traffic_problem.hpp>

#include <algorithm>

namespace lagoonladder::daemon
{

namespace
{

char const* status_title(int status)
{
    switch (status)
    {
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 403:
        return "Forbidden";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 413:
        return "Payload Too Large";
    case 414:
        return "URI Too Long";
    case 415:
        return "Unsupported Media Type";
    case 422:
        return "Unprocessable Entity";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return status < 500 ? "Request Refused" : "Internal Server Error";
    }
}

} // namespace

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
                        {"title", status_title(value.status)},
                        {"status", value.status},
                        {"detail", value.detail},
                        {"executed", to_string(value.executed)},
                        {"request_id", value.request_id}};
    if (!value.location.empty())
        body["location"] = value.location;
    // Details may quote input that is not valid UTF-8.
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string format_retry_after(duration value)
{
    auto const whole = std::chrono::ceil<seconds>(value).count();
    return std::to_string(std::max<std::int64_t>(whole, 1));
}

} // namespace lagoonladder::daemon
