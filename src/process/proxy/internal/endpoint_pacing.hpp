#ifndef LAGOONLADDER_PROXY_ENDPOINT_PACING_HPP
#define LAGOONLADDER_PROXY_ENDPOINT_PACING_HPP

#include <optional>
#include <set>
#include <vector>

#include <lagoonladder/proxy/traffic_control.hpp>

#include "endpoint_attempt.hpp"

namespace lagoonladder::proxy
{

/// Pointers to endpoint records of a view, which must outlive them. Copying a record would copy a
/// dozen strings.
using endpoint_record_pointers = std::vector<connection::endpoint_record const*>;

/// Applies request::endpoint_pace to the endpoints of traffic views.
class endpoint_pacing
{
public:
    endpoint_pacing(request::endpoint_pace_options const& options, time_point process_start);

    /// To be called several times a second: takes the entries and all endpoints into account.
    void tick(time_point now, traffic_view const& view);
    /// Removes the endpoints that may not get a request now, and those in `tried`.
    void filter(time_point now, traffic_view const& view, service_name const& service,
                request::balanced_route_policy const& health, std::vector<endpoint_id> const& tried,
                random_source& random, endpoint_record_pointers& endpoints);
    /// Returns the share of each endpoint by which filter() would draw now; no value when the pace
    /// of the service's endpoints is not bounded. Changes nothing.
    std::optional<std::vector<request::pace_share>>
    preview(time_point now, traffic_view const& view, service_name const& service,
            request::balanced_route_policy const& health,
            endpoint_record_pointers const& endpoints) const;
    /// Returns the time until one of the endpoints may get a request; no value when their pace is
    /// not bounded.
    std::optional<duration> time_until_room(time_point now, traffic_view const& view,
                                            service_name const& service,
                                            endpoint_record_pointers const& endpoints) const;
    /// Sets the data centres whose endpoints get no requests. Those of a data centre that is no
    /// longer among them may have become cold unseen.
    void set_evacuated(time_point now, traffic_view const& view,
                       std::set<data_centre_id> const& data_centres);

    void record_start(time_point now, endpoint_id const& endpoint);
    /// The first byte of the answer, or of a stream its first event, has arrived.
    void record_answer(time_point now, service_name const& service,
                       endpoint_attempt const& attempt);
    /// The head of an answer has arrived.
    void record_head(time_point now, endpoint_attempt const& attempt);
    void record_end(time_point now, service_name const& service, endpoint_attempt const& attempt,
                    attempt_result result);
    /// This entry cancelled the attempt.
    void record_cancel(time_point now, service_name const& service,
                       endpoint_attempt const& attempt);

    request::endpoint_pace const& pace() const { return this->decisions; }

private:
    void restart_endpoints(time_point now, traffic_view const& view,
                           data_centre_id const& data_centre);
    void observe(time_point now, service_name const& service, request::cold_limit const& limit,
                 connection::endpoint_record const& endpoint);
    /// Takes the endpoints into account and returns their shares.
    std::vector<request::pace_share> weigh(time_point now, service_name const& service,
                                           request::cold_limit const& limit,
                                           request::balanced_route_policy const& health,
                                           endpoint_record_pointers const& endpoints);

    request::endpoint_pace decisions;
    time_point round_begun{};
    std::set<data_centre_id> evacuated;
};

} // namespace lagoonladder::proxy

#endif
