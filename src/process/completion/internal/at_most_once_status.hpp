#ifndef LAGOONLADDER_COMPLETION_AT_MOST_ONCE_STATUS_HPP
#define LAGOONLADDER_COMPLETION_AT_MOST_ONCE_STATUS_HPP

#include <string>

#include <lagoonladder/request.hpp>

namespace lagoonladder::completion
{

/// Path under which the state of a non-idempotent request can be looked up.
std::string at_most_once_location(request_id const& id, request::at_most_once_key const& key);

/// Percent-encodes all characters but the unreserved ones, for use as a query parameter.
std::string percent_encoded(std::string const& text);

/// JSON text of the state of a non-idempotent request.
std::string format_at_most_once_status(request::at_most_once_key const& key,
                                       request::at_most_once_reply const& reply);

} // namespace lagoonladder::completion

#endif
