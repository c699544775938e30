#ifndef LAGOONLADDER_VERSION_SHARED_STATE_JSON_HPP
#define LAGOONLADDER_VERSION_SHARED_STATE_JSON_HPP

#include <lagoonladder/version/control_state.hpp>

namespace lagoonladder::version
{

void to_json(nlohmann::json& out, traffic_split const& in);
void from_json(nlohmann::json const& in, traffic_split& out);

/// The bytes are null if only the digest is known.
void to_json(nlohmann::json& out, packed_content const& in);
void from_json(nlohmann::json const& in, packed_content& out);

/// Packs a configuration file, with its name.
packed_content pack_configuration(std::string const& file, std::string const& text);

/// The form used in snapshots. It lacks the parsed configurations, which from_json parses
/// again.
void to_json(nlohmann::json& out, shared_state const& in);
void from_json(nlohmann::json const& in, shared_state& out);

} // namespace lagoonladder::version

#endif
