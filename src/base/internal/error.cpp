#include <lagoonladder/base/error.hpp>

namespace lagoonladder
{

std::string locate(source_location const& where, std::string const& message)
{
    return where.file + ":" + std::to_string(where.line) + ": " + message;
}

} // namespace lagoonladder
