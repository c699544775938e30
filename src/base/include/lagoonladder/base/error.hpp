#ifndef LAGOONLADDER_BASE_ERROR_HPP
#define LAGOONLADDER_BASE_ERROR_HPP

#include <stdexcept>
#include <string>

namespace lagoonladder
{

/// Base class of the exceptions of all layers. Each layer derives its own type and
/// converts the errors of the layer below into it.
class error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Thrown for text that cannot be parsed: a unit, an INI document, a message.
class parse_error : public error
{
public:
    using error::error;
};

/// Position in an input file, for error messages.
struct source_location
{
    std::string file;
    int line = 0;
};

/// Formats as "FILE:LINE: MESSAGE".
std::string locate(source_location const& where, std::string const& message);

} // namespace lagoonladder

#endif
