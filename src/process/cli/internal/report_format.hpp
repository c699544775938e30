#ifndef LAGOONLADDER_CLI_REPORT_FORMAT_HPP
#define LAGOONLADDER_CLI_REPORT_FORMAT_HPP

#include <string>

#include <nlohmann/json.hpp>

namespace lagoonladder::cli
{

/// These functions format responses of the operator API as aligned text. A missing field is shown
/// as "-".
std::string format_status(nlohmann::json const& body);
std::string format_moves(nlohmann::json const& body);
std::string format_events(nlohmann::json const& body);

} // namespace lagoonladder::cli

#endif
