#ifndef LAGOONLADDER_COMPLETION_ONCE_STATUS_HPP
#define LAGOONLADDER_COMPLETION_ONCE_STATUS_HPP

#include <string>

#include <lagoonladder/request.hpp>

namespace lagoonladder::completion
{

/// Path under which the state of a non-idempotent request can be looked up.
std::string once_location(request_id const& id, request::at_most_once_key const& key);

/// The text with all but unreserved characters escaped, for a parameter of a query.
std::string percent_encoded(std::string const& text);

/// JSON text of the state of a non-idempotent request.
std::string format_once_status(request::at_most_once_key const& key, request::at_most_once_reply const& reply);

} // namespace lagoonladder::completion

#endif
