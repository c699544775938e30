#ifndef LAGOONLADDER_DAEMON_PLACEMENT_EXPLANATIONS_HPP
#define LAGOONLADDER_DAEMON_PLACEMENT_EXPLANATIONS_HPP

#include <functional>
#include <string>

#include <nlohmann/json.hpp>

#include <lagoonladder/completion.hpp>
#include <lagoonladder/proxy.hpp>

namespace lagoonladder::daemon
{

/// Answer to a query about the placement of a call.
struct explanation_reply
{
    nlohmann::json body;
    /// Why the query cannot be answered; empty if `body` is the answer.
    std::string problem;
};

/// Explains where calls would be sent. Safe to call from any thread; handlers run on the thread
/// that serves the calls.
class placement_explainer
{
public:
    virtual ~placement_explainer() = default;

    virtual void explain(proxy::placement_query query,
                         std::function<void(explanation_reply const&)> done) = 0;
};

/// Parses the query of an operator. Throws refusal (400), which names the field.
proxy::placement_query parse_placement_query(std::string const& body);

/// Responds with the explanation of the call that the request describes. Throws refusal if the
/// request is malformed or `explainer` is null, for an entry without pass-through calls.
void explain_placement(placement_explainer* explainer,
                       std::shared_ptr<completion::api_exchange> const& exchange);

} // namespace lagoonladder::daemon

#endif
