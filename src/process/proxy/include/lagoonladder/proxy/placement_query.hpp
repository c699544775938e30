#ifndef LAGOONLADDER_PROXY_PLACEMENT_QUERY_HPP
#define LAGOONLADDER_PROXY_PLACEMENT_QUERY_HPP

#include <optional>
#include <string>

#include <lagoonladder/base.hpp>
#include <lagoonladder/proxy/call.hpp>

namespace lagoonladder::proxy
{

/// A pass-through call whose placement an operator asks for.
struct placement_query
{
    std::string host;
    /// Path and query.
    std::string path;
    /// No value for a call without an account key.
    std::optional<account_id> account;
    std::optional<token_counts> tokens;
    request::prompt_parts prompt;
    /// Time that the caller waits for the response; no value when it states none.
    std::optional<duration> time_left;
};

/// The query names something that the configuration in force does not have.
class unknown_placement : public error
{
public:
    using error::error;
};

} // namespace lagoonladder::proxy

#endif
