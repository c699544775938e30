#ifndef LAGOONLADDER_VERSION_SHARED_STATE_JSON_HPP
#define LAGOONLADDER_VERSION_SHARED_STATE_JSON_HPP

#include <lagoonladder/version/control_state.hpp>

namespace lagoonladder::version
{

void to_json(nlohmann::json& out, traffic_split const& in);
void from_json(nlohmann::json const& in, traffic_split& out);

/// Without the parsed configuration; reading parses the text again.
void to_json(nlohmann::json& out, shared_state const& in);
void from_json(nlohmann::json const& in, shared_state& out);

} // namespace lagoonladder::version

#endif
