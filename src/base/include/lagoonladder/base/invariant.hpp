#ifndef LAGOONLADDER_BASE_INVARIANT_HPP
#define LAGOONLADDER_BASE_INVARIANT_HPP

#include <functional>
#include <string>
#include <string_view>

namespace lagoonladder
{

/// Called with the message of a violated invariant before the process aborts.
using invariant_handler = std::function<void(std::string const&)>;

/// Installs the handler of the process. A handler that throws prevents the abort, which
/// tests use to detect a violation.
void set_invariant_handler(invariant_handler handler);

/// Calls the handler, prints the message to standard error and aborts the process.
[[noreturn]] void invariant_violated(std::string_view message);

/// Checks a condition that must always hold, in release builds as well.
inline void invariant(bool condition, std::string_view message)
{
    if (!condition)
        invariant_violated(message);
}

} // namespace lagoonladder

#endif
