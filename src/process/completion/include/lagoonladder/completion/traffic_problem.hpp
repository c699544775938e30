#ifndef LAGOONLADDER_COMPLETION_TRAFFIC_PROBLEM_HPP
#define LAGOONLADDER_COMPLETION_TRAFFIC_PROBLEM_HPP

#include <string>

#include <lagoonladder/control.hpp>

namespace lagoonladder::completion
{

/// Errors of the completion layer.
class completion_error : public error
{
public:
    using error::error;
};

/// Whether the work of a refused request was done.
enum class execution
{
    no,
    yes,
    unknown
};

/// Body of a refusal (application/problem+json).
struct problem
{
    int status = 500;
    /// Last part of the problem type, such as "no-endpoint".
    std::string type{};
    std::string detail{};
    execution executed = execution::no;
    std::string request_id{};
    /// Rounded up to whole seconds in the Retry-After header.
    duration retry_after = seconds(1);
    /// Path under which the outcome can be looked up; empty when there is none.
    std::string location{};
};

char const* to_string(execution value);

/// JSON text of the refusal.
std::string format_problem(problem const& value);

/// Retry-After header value: whole seconds, at least 1.
std::string format_retry_after(duration value);

/// Ends the handling of a request with a refusal.
class refusal : public completion_error
{
public:
    explicit refusal(problem value)
        : completion_error(value.detail)
        , details(std::move(value))
    {
    }

    problem details;
};

} // namespace lagoonladder::completion

#endif
