#ifndef LAGOONLADDER_VERSION_USAGE_JSON_HPP
#define LAGOONLADDER_VERSION_USAGE_JSON_HPP

#include <lagoonladder/version/control_state.hpp>

namespace lagoonladder::version
{

/// The counts are an array of pairs of account and count.
nlohmann::json counts_json(std::map<account_id, std::uint64_t> const& counts);
std::map<account_id, std::uint64_t> counts_from(nlohmann::json const& in);

void to_json(nlohmann::json& out, usage_window const& in);
void from_json(nlohmann::json const& in, usage_window& out);

} // namespace lagoonladder::version

#endif
