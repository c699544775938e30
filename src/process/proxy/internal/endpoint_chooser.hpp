#ifndef LAGOONLADDER_PROXY_ENDPOINT_CHOOSER_HPP
#define LAGOONLADDER_PROXY_ENDPOINT_CHOOSER_HPP

#include <map>
#include <optional>

#include <lagoonladder/proxy/call.hpp>
#include <lagoonladder/proxy/traffic_control.hpp>

namespace lagoonladder::proxy
{

/// Chooses the endpoint of an attempt from the control view, the load estimate and
/// the outcomes of earlier attempts.
class endpoint_chooser
{
public:
    /// No value when no endpoint may be used.
    std::optional<connection::endpoint_record>
    choose(time_point now, traffic_view const& view, version::pass_through_route const& route,
           service_name const& service, incoming_call const& call,
           std::vector<endpoint_id> const& excluded, random_source& random);

    /// Estimated requests running and waiting at the endpoint.
    double load(time_point now, endpoint_id const& endpoint) const
    {
        return this->loads.estimate(now, endpoint);
    }

    /// The call is sent to the endpoint.
    void started(time_point now, endpoint_id const& endpoint);
    /// A prompt was sent to an engine by this entry.
    request::sent_prompt prompt_sent(time_point now, endpoint_id const& engine, incarnation start,
                                     request::prompt_parts const& prompt)
    {
        return this->prompts.sent(now, engine, start, prompt);
    }
    /// A prompt was sent to an engine by another entry.
    void prompt_heard(time_point now, endpoint_id const& engine, incarnation start,
                      request::prompt_parts const& prompt)
    {
        this->prompts.heard(now, engine, start, prompt);
    }
    /// The engine has begun to answer a prompt of this entry.
    void prompt_answered(time_point now, connection::endpoint_record const& engine,
                         request::sent_prompt const& prompt)
    {
        this->prompts.answered(now, engine.id, engine.incarnation, prompt);
    }
    /// An attempt has ended; `outcome` is empty when it tells nothing of the endpoint.
    void ended(time_point now, service_name const& service, endpoint_id const& endpoint,
               std::optional<request::route_outcome> const& outcome);
    /// An attempt that goes on has sent nothing for longer than it should.
    void silent(time_point now, service_name const& service, endpoint_id const& endpoint,
                duration elapsed);
    void report(time_point now, endpoint_id const& endpoint, connection::load_report const& load);
    /// Another endpoint has the address of this one.
    void mark_gone(time_point now, connection::endpoint_record const& endpoint);

private:
    struct gone_endpoint
    {
        incarnation known;
        time_point until{};
    };

    request::balanced_route_policy& policy(service_name const& service, bool is_engine);
    /// Leaves the engines at which the prompt costs least.
    void keep_cheapest(time_point now, request::prompt_parts const& prompt,
                       request::balanced_route_policy const& health,
                       std::vector<endpoint_id> const& excluded,
                       std::vector<request::route_candidate>& candidates) const;
    bool is_gone(time_point now, connection::endpoint_record const& endpoint) const;

    std::map<service_name, request::balanced_route_policy> policies;
    request::load_estimate loads;
    request::prompt_backlog prompts;
    std::map<endpoint_id, gone_endpoint> gone;
    std::uint64_t next_report = 1;
};

/// Rows of a view, which has to outlive them. A copy of a row copies a dozen strings.
using endpoint_rows = std::vector<connection::endpoint_record const*>;

/// Endpoints of the service that a call may go to by their state and version.
endpoint_rows usable_endpoints(traffic_view const& view, service_name const& service,
                               request_id const& call);

} // namespace lagoonladder::proxy

#endif
