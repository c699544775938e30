#ifndef LAGOONLADDER_REQUEST_ENDPOINT_PACE_HPP
#define LAGOONLADDER_REQUEST_ENDPOINT_PACE_HPP

#include <map>
#include <set>
#include <vector>

#include <lagoonladder/request/cold_bound.hpp>
#include <lagoonladder/request/start_pace.hpp>

namespace lagoonladder::request
{

struct endpoint_pace_options
{
    /// Whether the pace of endpoints that have started or recovered is learned from their answers.
    bool is_learned = false;
    cold_tolerance cold;
};

/// An endpoint that may get a request, as far as the other rules are concerned.
struct pace_candidate
{
    endpoint_id id;
    /// Failures exclude the endpoint from ordinary choices.
    bool is_excluded = false;
};

/// What the pace permits a candidate now, and the chance that it is selected.
struct pace_share
{
    bool is_excluded = false;
    /// The bound of cold endpoints leaves room for a request.
    bool has_room = true;
    /// The learned pace allows one more open request.
    bool may_open = true;
    /// The learned pace admits the request only by chance.
    bool is_drawn = false;
    double weight = 1;
    /// Largest weight of the candidates.
    double max_weight = 1;

    /// Returns the chance that the candidate is selected before the fallback of complete().
    double chance() const;
};

/// Decides which endpoints may get a request now: bounds the requests to cold endpoints, and raises
/// those to endpoints that have started or recovered as far as they answer in time. Not safe for
/// concurrent calls.
class endpoint_pace
{
public:
    explicit endpoint_pace(endpoint_pace_options const& initial = {},
                           time_point process_start = {});

    /// Returns whether the pace of any endpoint of a service with this limit is bounded. The other
    /// functions need not be called for a service whose pace is not.
    bool applies_to(cold_limit const& limit) const;

    /// Sets the entries that serve calls, and whether this entry may use its portions of limits.
    void set_entries(std::vector<vm_id> const& serving_entries, vm_id const& own_entry,
                     bool may_accrue);
    /// Begins a round in which all endpoints are observed.
    void begin_round(time_point now);
    /// Takes the present row of an endpoint into account.
    void observe(time_point now, service_name const& service, cold_limit const& limit,
                 endpoint_statement const& row);
    /// An event, such as the end of an evacuation, has left the state of the endpoint unknown.
    void restart(time_point now, endpoint_id const& endpoint);

    /// Returns for each candidate whether it may get a request now. The learned pace never leaves
    /// a request without an endpoint; the bound of cold endpoints does.
    std::vector<bool> select(time_point now, service_name const& service,
                             std::vector<pace_candidate> const& candidates, random_source& random);
    /// First step of select(): detects recoveries and returns the share of each candidate.
    std::vector<pace_share> weigh(time_point now, service_name const& service,
                                  std::vector<pace_candidate> const& candidates);
    /// Second step of select(): draws by the shares.
    static std::vector<bool> draw(std::vector<pace_share> const& shares, random_source& random);
    /// Returns `selected`, or all candidates with room when it has no usable one.
    static std::vector<bool> complete(std::vector<pace_share> const& shares,
                                      std::vector<bool> selected);
    /// Returns the time until this entry may send a request to the endpoint.
    duration time_until_room(time_point now, endpoint_id const& endpoint) const;

    /// This entry sends a request to the endpoint.
    void record_start(time_point now, endpoint_id const& endpoint);
    /// The first byte of the answer to a request that was sent at `started` has arrived.
    void record_answer(time_point now, service_name const& service, endpoint_id const& endpoint,
                       time_point started);
    /// The endpoint stated in an answer that it is cold for this time.
    void record_cold(time_point now, endpoint_id const& endpoint, duration cold_remaining);
    /// The attempt that was sent at `started` is over.
    void record_end(time_point now, service_name const& service, endpoint_id const& endpoint,
                    time_point started, attempt_end end);

    std::size_t cold_endpoints(time_point now) const { return this->cold.cold_endpoints(now); }
    std::size_t starting_endpoints() const { return this->starts.starting_endpoints(); }

private:
    /// Begins the learned pace of candidates that are no longer cold or excluded.
    void detect_recovery(time_point now, pace_candidate const& candidate);
    /// Applies the learned pace of the endpoint to its share.
    void limit_share(time_point now, service_name const& service, endpoint_id const& endpoint,
                     double mean_open, pace_share& share);

    endpoint_pace_options options;
    cold_bound cold;
    start_pace starts;
    /// When a service was first observed. The endpoints that are observed with it are established.
    std::map<service_name, time_point> first_observed;
    /// Endpoints that were cold or excluded when they were last seen.
    std::set<endpoint_id> cold_or_excluded;
    time_point expired_at{};
};

} // namespace lagoonladder::request

#endif
