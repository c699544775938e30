#ifndef LAGOONLADDER_PROXY_ENDPOINT_CHOOSER_HPP
#define LAGOONLADDER_PROXY_ENDPOINT_CHOOSER_HPP

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include <lagoonladder/proxy/call.hpp>
#include <lagoonladder/proxy/traffic_control.hpp>
#include <lagoonladder/request/engine_work_counter.hpp>

#include "endpoint_pacing.hpp"

namespace lagoonladder::proxy
{

/// Rule that keeps an endpoint from being chosen.
enum class exclusion
{
    none,
    address_taken_over,
    leaving,
    evacuated,
    region,
    reversed_version,
    other_version,
    /// The bound of cold endpoints leaves no room here.
    cold,
    learned_pace,
    /// Failures exclude it while others do not fail.
    failures,
    /// Another engine can answer the prompt at a lower cost.
    cost,
    /// Its load exceeds the mean by too much, or is higher than that of each other endpoint.
    load
};

char const* to_string(exclusion rule);

/// Endpoints that a rule excluded.
using exclusion_list = std::vector<std::pair<connection::endpoint_record const*, exclusion>>;

/// Chance of an endpoint to be chosen, with the estimates that it results from.
struct endpoint_explanation
{
    /// Part of the view that was explained.
    connection::endpoint_record const* endpoint = nullptr;
    exclusion rule = exclusion::none;
    double chance = 0;
    /// Estimated number of requests that run and wait.
    double load = 0;
    /// The estimate is based on a report of the endpoint.
    bool has_load_report = false;
    double time_deviation = 1;
    /// The endpoint has stated a time.
    bool has_stated_time = false;
    /// A prompt that was sent to the engine is known.
    bool has_known_prompts = false;
    /// Tokens of the prompt that the engine has not cached.
    double uncached_tokens = 0;
    duration prefill_time{};
    /// Cost of the prompt at the engine; no value where the cost does not count.
    std::optional<duration> cost;
    /// Time until a cold endpoint may get a request.
    duration time_until_room{};
};

struct choice_explanation
{
    /// All endpoints of the service, in order of their chance.
    std::vector<endpoint_explanation> endpoints;
    /// The chances are estimated from samples, since too many endpoints get requests by chance.
    bool is_sampled = false;
};

/// Chooses the endpoint of an attempt by the traffic view, the estimated load and the outcomes of
/// earlier attempts.
class endpoint_chooser
{
public:
    explicit endpoint_chooser(request::endpoint_pace_options const& pace = {},
                              time_point process_start = {});

    /// Returns no value when no endpoint may be used. Endpoints in `excluded` are not chosen.
    std::optional<connection::endpoint_record>
    choose(time_point now, traffic_view const& view, version::pass_through_route const& route,
           service_name const& service, incoming_call const& call,
           std::vector<endpoint_id> const& excluded, random_source& random);

    /// Explains which endpoints choose() would choose now for the first attempt of the call.
    /// Changes nothing.
    choice_explanation explain(time_point now, traffic_view const& view,
                               version::pass_through_route const& route,
                               service_name const& service, incoming_call const& call) const;

    /// Returns the time until one of the endpoints that choose() may use may get a request, for a
    /// call that got none: zero when one of them is not cold, no value when there are none or
    /// the service has no cold limit.
    std::optional<duration> time_until_room(time_point now, traffic_view const& view,
                                            service_name const& service, incoming_call const& call,
                                            std::vector<endpoint_id> const& excluded) const;
    endpoint_pacing& pacing() { return this->pace_control; }

    /// Returns the estimated number of requests running and waiting at the endpoint.
    double load(time_point now, endpoint_id const& endpoint) const
    {
        return this->loads.estimate(now, endpoint);
    }

    /// Returns the estimated time until the engine would have prefilled a prompt that is sent now.
    duration prefill_time(time_point now, endpoint_id const& engine,
                          request::prompt_parts const& prompt) const
    {
        return this->prompts.prefill_time(now, engine, prompt);
    }

    /// Returns the time that the engine would spend on the uncached tokens of the prompt at its
    /// present speed.
    duration prefill_work(time_point now, endpoint_id const& engine,
                          request::prompt_parts const& prompt) const
    {
        return request::prefill_work(this->prompts, now, engine, prompt);
    }

    /// Records that a call is sent to the endpoint.
    void record_start(time_point now, endpoint_id const& endpoint);
    /// Records a prompt that this entry sends to an engine.
    request::sent_prompt record_sent_prompt(time_point now, endpoint_id const& engine,
                                            incarnation engine_incarnation,
                                            request::prompt_parts const& prompt)
    {
        return this->prompts.sent(now, engine, engine_incarnation, prompt);
    }
    /// Records a prompt that another entry sent to an engine.
    void record_received_prompt(time_point now, endpoint_id const& engine,
                                incarnation engine_incarnation, request::prompt_parts const& prompt)
    {
        this->prompts.notice_received(now, engine, engine_incarnation, prompt);
    }
    /// Records that the engine has begun to answer a prompt of this entry.
    void record_answered_prompt(time_point now, connection::endpoint_record const& engine,
                                request::sent_prompt const& prompt)
    {
        this->prompts.first_token_received(now, engine.id, engine.incarnation, prompt);
    }
    /// Records the end of an attempt. `outcome` has no value when the attempt says nothing about
    /// the health of the endpoint.
    void record_end(time_point now, service_name const& service, endpoint_id const& endpoint,
                    std::optional<request::route_outcome> const& outcome);
    /// Records a failure of an endpoint that has been silent beyond the timeout while its attempt
    /// continues.
    void record_silence(time_point now, service_name const& service, endpoint_id const& endpoint,
                        duration elapsed);
    /// Records the load that the endpoint stated in a response.
    void record_load(time_point now, endpoint_id const& endpoint,
                     connection::load_report const& load);
    /// Records that another endpoint has taken over the address of this one.
    void mark_replaced(time_point now, connection::endpoint_record const& endpoint);

private:
    struct replaced_endpoint
    {
        /// Latest incarnation that was replaced; a later one may be chosen.
        incarnation latest_incarnation;
        time_point until{};
    };

    /// Candidates of a choice after all rules but those of the route policy.
    struct candidate_set
    {
        std::vector<request::route_candidate> candidates;
        request::route_query query;
        /// Healthy engines and their costs; empty where the cost does not count.
        std::vector<endpoint_id> priced;
        std::vector<duration> costs;
    };

    request::balanced_route_policy& policy(service_name const& service, bool is_engine);
    request::balanced_route_policy make_policy(bool is_engine) const;
    /// Returns the endpoints whose state, data centre, version and address permit the call. Adds
    /// the others to `removed` unless it is null.
    endpoint_record_pointers find_endpoints(time_point now, traffic_view const& view,
                                            service_name const& service, incoming_call const& call,
                                            exclusion_list* removed = nullptr) const;
    /// Returns the candidates among the endpoints that the pace permits.
    candidate_set make_candidates(time_point now, traffic_view const& view,
                                  version::pass_through_route const& route, bool is_engine,
                                  incoming_call const& call,
                                  request::balanced_route_policy const& health,
                                  std::vector<endpoint_id> const& excluded,
                                  endpoint_record_pointers const& endpoints) const;
    /// Removes all candidates but the healthy engines with the lowest estimated cost of the prompt.
    void keep_cheapest(time_point now, request::prompt_parts const& prompt,
                       request::balanced_route_policy const& health, candidate_set& set) const;
    /// Adds rows for the endpoints that may be chosen.
    void add_chances(time_point now, traffic_view const& view,
                     version::pass_through_route const& route, service_name const& service,
                     incoming_call const& call, endpoint_record_pointers const& endpoints,
                     choice_explanation& result) const;
    endpoint_explanation explain_estimates(time_point now,
                                           connection::endpoint_record const& endpoint,
                                           incoming_call const& call) const;
    bool is_replaced(time_point now, connection::endpoint_record const& endpoint) const;

    /// Whether the policies leave the growth of an endpoint's share to `pace_control`.
    bool is_pace_learned;
    endpoint_pacing pace_control;
    std::map<service_name, request::balanced_route_policy> policies;
    request::load_estimate loads;
    request::prompt_backlog prompts;
    std::map<endpoint_id, replaced_endpoint> replaced;
    std::uint64_t next_report = 1;
};

/// Returns the endpoints of the service that a call may be sent to by their state, their data
/// centre and version. No value for `regions` means all. Adds the others to `removed` unless it is
/// null.
endpoint_record_pointers
usable_endpoints(traffic_view const& view, service_name const& service, request_id const& call,
                 std::optional<std::set<region_id>> const& regions = std::nullopt,
                 exclusion_list* removed = nullptr);

} // namespace lagoonladder::proxy

#endif
