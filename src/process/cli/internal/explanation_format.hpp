#ifndef LAGOONLADDER_CLI_EXPLANATION_FORMAT_HPP
#define LAGOONLADDER_CLI_EXPLANATION_FORMAT_HPP

#include <string>

#include <nlohmann/json.hpp>

namespace lagoonladder::cli
{

/// Returns the answer of an entry to `explain` as text for operators. Missing fields are left out.
std::string format_explanation(nlohmann::json const& answer);

} // namespace lagoonladder::cli

#endif
