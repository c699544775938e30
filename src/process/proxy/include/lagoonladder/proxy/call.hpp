#ifndef LAGOONLADDER_PROXY_CALL_HPP
#define LAGOONLADDER_PROXY_CALL_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <lagoonladder/connection.hpp>
#include <lagoonladder/http.hpp>
#include <lagoonladder/request.hpp>

namespace lagoonladder::proxy
{

struct token_counts
{
    std::uint64_t prompt = 0;
    std::uint64_t max_output = 0;
};

/// What the head of a caller's request says.
struct incoming_call
{
    request_id id;
    std::string host;
    /// Path and query.
    std::string target;
    /// Empty when the caller sent none.
    std::string account_key;
    /// How long the caller waits.
    std::optional<duration> time_left;
    std::optional<token_counts> tokens;
    request::prompt_parts prompt;
    /// A stream continues after this event.
    std::optional<std::uint64_t> last_event;
    /// Why the request is malformed; empty for a proper one.
    std::string problem;
};

/// What a request to an endpoint carries besides the caller's own fields.
struct forwarding_fields
{
    duration time_left{};
    /// Another endpoint at the address must not run the request.
    endpoint_id expected_endpoint;
    account_id account;
    /// 0 is the most urgent; no value leaves the endpoint's default.
    std::optional<std::uint32_t> urgency;
    std::optional<std::uint64_t> last_event;
};

/// What the head of an endpoint's response says.
struct endpoint_answer
{
    /// Id of the request that it answers; empty when not stated.
    request_id request;
    /// Signed by the endpoint; only signed answers are answers to the request.
    bool is_sealed = false;
    /// The endpoint states that it did not run the request.
    bool is_not_executed = false;
    /// Another endpoint has the address now.
    bool is_from_other_endpoint = false;
    /// The body is not in the form that the caller asked for.
    bool has_unexpected_encoding = false;
    std::optional<connection::load_report> load;
};

/// Translates between the heads of messages and the proxy's types.
class call_codec
{
public:
    virtual ~call_codec() = default;

    virtual incoming_call decode(http::request_head const& head) const = 0;
    /// Head to send to an endpoint.
    virtual http::request_head encode(http::request_head const& received,
                                      forwarding_fields const& fields) const = 0;
    virtual endpoint_answer decode(http::response_head const& head) const = 0;
    /// Head of the endpoint's answer for the caller.
    virtual http::response_head relay(http::response_head const& head) const = 0;
};

} // namespace lagoonladder::proxy

#endif
