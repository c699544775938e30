#ifndef LAGOONLADDER_PROXY_CALL_HPP
#define LAGOONLADDER_PROXY_CALL_HPP

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <lagoonladder/base/region.hpp>
#include <lagoonladder/connection.hpp>
#include <lagoonladder/http.hpp>
#include <lagoonladder/request.hpp>

namespace lagoonladder::proxy
{

/// Tokens that the caller states for a call. They count towards the quota of its account.
struct token_counts
{
    std::uint64_t prompt = 0;
    std::uint64_t max_output = 0;
};

/// A caller's request, decoded from its head.
struct incoming_call
{
    request_id id;
    std::string host;
    /// Path and query.
    std::string target;
    /// API key; empty when the caller sent none.
    std::string account_key;
    /// Time that the caller waits for the response; no value when the request states none.
    std::optional<duration> time_left;
    std::optional<token_counts> tokens;
    request::prompt_parts prompt;
    /// Id of the last event that the caller has; the stream continues after it.
    std::optional<std::uint64_t> last_event;
    /// Why the request is malformed; empty for a valid one.
    std::string problem;
    /// Regions whose endpoints may serve the call; no value for all.
    std::optional<std::set<region_id>> regions;
};

/// Header fields that the proxy adds to the caller's own when it sends a request to an endpoint.
struct forwarding_fields
{
    /// Time until the deadline of the call.
    duration time_left{};
    /// Endpoint that may run the request; any other one at the same address refuses it.
    endpoint_id expected_endpoint;
    account_id account;
    /// Priority for model engines, 0 being the most urgent; without a value the endpoint uses its
    /// default.
    std::optional<std::uint32_t> engine_priority;
    /// Id of the last event that the caller has; the stream continues after it.
    std::optional<std::uint64_t> last_event;
};

/// An endpoint's response, decoded from its head.
struct endpoint_answer
{
    /// Id of the request that the response belongs to; empty when not stated.
    request_id request;
    /// The response has a seal header, which is not verified. A success or refusal without one may
    /// come from another process at the address and is not accepted.
    bool has_seal = false;
    /// The endpoint states that it did not execute the request.
    bool is_not_executed = false;
    /// Another endpoint has taken over the address and refused the request.
    bool is_from_other_endpoint = false;
    /// The body has a content encoding that was not requested.
    bool has_unexpected_encoding = false;
    std::optional<connection::load_report> load;
    /// Time for which the endpoint stays cold.
    std::optional<duration> cold_remaining;
};

/// Translates between HTTP message heads and the types of the proxy.
class call_codec
{
public:
    virtual ~call_codec() = default;

    virtual incoming_call decode(http::request_head const& head) const = 0;
    /// Returns the head to send to an endpoint.
    virtual http::request_head encode(http::request_head const& received,
                                      forwarding_fields const& fields) const = 0;
    virtual endpoint_answer decode(http::response_head const& head) const = 0;
    /// Returns the head of the endpoint's response as it is sent to the caller.
    virtual http::response_head relay(http::response_head const& head) const = 0;
};

} // namespace lagoonladder::proxy

#endif
