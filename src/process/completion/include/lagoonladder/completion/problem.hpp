#ifndef LAGOONLADDER_COMPLETION_PROBLEM_HPP
#define LAGOONLADDER_COMPLETION_PROBLEM_HPP

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

/// Whether a refused request was executed.
enum class execution
{
    no,
    yes,
    unknown
};

/// Content of a refusal response (application/problem+json).
struct problem
{
    /// HTTP status.
    int status = 500;
    /// Last part of the problem type URN, such as "no-endpoint".
    std::string type{};
    std::string detail{};
    execution executed = execution::no;
    std::string request_id{};
    /// Time after which the caller may retry; rounded up to whole seconds in the Retry-After
    /// header.
    duration retry_after = seconds(1);
    /// Path under which the caller can look up the outcome; empty if there is none.
    std::string location{};
};

char const* to_string(execution value);

/// Returns the refusal as JSON text.
std::string format_problem(problem const& value);

/// Value of the Retry-After header: whole seconds, rounded up, at least 1.
std::string format_retry_after(duration value);

/// Exception that ends the handling of a request; its details are sent as the response.
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
