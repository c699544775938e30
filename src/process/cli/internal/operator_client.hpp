#ifndef LAGOONLADDER_CLI_OPERATOR_CLIENT_HPP
#define LAGOONLADDER_CLI_OPERATOR_CLIENT_HPP

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <lagoonladder/base.hpp>

namespace lagoonladder::cli
{

/// Where and as whom the operator calls.
struct operator_access
{
    std::vector<network_address> entries;
    std::string token;
    duration timeout = seconds(10);
};

enum class call_result
{
    answered,
    /// No byte of the request was sent.
    not_sent,
    /// The request may have been executed.
    answer_lost
};

struct operator_reply
{
    call_result result = call_result::not_sent;
    network_address entry;
    int status = 0;
    /// Parsed body; null when it is not JSON.
    nlohmann::json body;

    /// `detail` or `title` of a problem body, or the status.
    std::string problem() const;
};

/// Calls the operator API of the entries.
class operator_client
{
public:
    explicit operator_client(operator_access initial);

    std::vector<network_address> const& entries() const { return this->access.entries; }

    /// One call to one entry; never throws for network errors.
    operator_reply call(network_address const& entry, std::string const& method,
                        std::string const& path, nlohmann::json const& body = nullptr) const;

    /// Calls one entry after the other until one answers with a status below 500,
    /// and returns the body of a 2xx answer. Only for calls that may be executed
    /// twice. Throws cli_error.
    nlohmann::json ask(std::string const& method, std::string const& path,
                       nlohmann::json const& body = nullptr) const;

private:
    operator_access access;
};

} // namespace lagoonladder::cli

#endif
