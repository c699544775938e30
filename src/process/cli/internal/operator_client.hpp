#ifndef LAGOONLADDER_CLI_OPERATOR_CLIENT_HPP
#define LAGOONLADDER_CLI_OPERATOR_CLIENT_HPP

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <lagoonladder/base.hpp>

namespace lagoonladder::cli
{

/// Entries to call, and the operator token to call them with.
struct operator_access
{
    std::vector<network_address> entries;
    std::string token;
    duration timeout = seconds(10);
};

enum class call_result
{
    responded,
    /// No byte of the request was sent.
    not_sent,
    /// The request may have been sent, but no complete response arrived; it may have been
    /// executed.
    response_lost
};

struct operator_reply
{
    call_result result = call_result::not_sent;
    network_address entry;
    int status = 0;
    /// Parsed body of the response; null when it is not JSON.
    nlohmann::json body;

    /// Message for the operator: the entry, and why it did not respond, or the status with the
    /// `detail` or `title` of the body.
    std::string problem() const;
};

/// Calls the operator API of the entries.
class operator_client
{
public:
    explicit operator_client(operator_access initial_access);

    std::vector<network_address> const& entries() const { return this->access.entries; }

    /// Calls one entry. Reports network errors in the result instead of throwing.
    operator_reply call(network_address const& entry, std::string const& method,
                        std::string const& path, nlohmann::json const& body = nullptr) const;

    /// Calls one entry after the other until one responds with a status below 500,
    /// and returns the body of a 2xx response. Only for calls that may be executed
    /// twice, since a call with a lost response is repeated. Throws cli_error.
    nlohmann::json call_any_entry(std::string const& method, std::string const& path,
                                  nlohmann::json const& body = nullptr) const;

private:
    operator_access access;
};

} // namespace lagoonladder::cli

#endif
