#ifndef LAGOONLADDER_BASE_SECRET_HPP
#define LAGOONLADDER_BASE_SECRET_HPP

#include <string_view>

namespace lagoonladder
{

/// Compares two secrets in a time that does not depend on the position of the first difference,
/// so that response times reveal nothing about the expected secret. The length is not concealed.
inline bool secret_equals(std::string_view received, std::string_view expected)
{
    if (received.size() != expected.size())
        return false;
    unsigned difference = 0;
    for (std::size_t i = 0; i < received.size(); ++i)
        difference |=
            static_cast<unsigned char>(received[i]) ^ static_cast<unsigned char>(expected[i]);
    return difference == 0;
}

} // namespace lagoonladder

#endif
