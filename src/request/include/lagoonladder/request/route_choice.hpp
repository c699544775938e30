#ifndef LAGOONLADDER_REQUEST_ROUTE_CHOICE_HPP
#define LAGOONLADDER_REQUEST_ROUTE_CHOICE_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <lagoonladder/base.hpp>

namespace lagoonladder::request
{

/// Properties of an endpoint that the choice depends on.
struct route_candidate
{
    lagoonladder::endpoint_id endpoint_id;
    data_centre_id data_centre;
    zone_id zone;
    version_name version;
    bool reclaimable = false;
    bool leaving = false;
    /// Estimated number of requests that run and wait, as load_estimate returns it.
    double load = 0;
    /// Number of requests that the endpoint can run at the same time; 0 counts as 1.
    std::uint32_t slots = 1;
    /// Time that work takes at the endpoint now, as a multiple of its mean.
    double time_deviation = 1;
    /// Fraction of the prompt whose prefix the endpoint is expected to have cached, 0 to 1.
    double prefix_match = 0;
};

struct route_query
{
    /// Data centre of the entry that chooses.
    data_centre_id data_centre;
    /// Hash of the start of the prompt; 0 when the request has no prefix.
    std::uint64_t prefix_hash = 0;
    /// Endpoints at which attempts of this request failed.
    std::vector<endpoint_id> excluded;
};

/// Result of one attempt, from which the policy learns an endpoint's health and speed.
struct route_outcome
{
    /// False for a failed connection, an error status, or an attempt that became silent.
    bool ok = true;
    /// From dispatch to the first byte; zero when no byte arrived.
    duration first_byte{};
    /// From dispatch to the end.
    duration elapsed{};
    /// Number of generated tokens; 0 for plain services.
    std::uint64_t tokens = 0;
    /// No connection could be opened; the endpoint is excluded at once.
    bool unreachable = false;
};

/// Chooses an endpoint for one attempt. Not safe for concurrent calls.
class route_policy
{
public:
    virtual ~route_policy() = default;

    /// Returns no value when every candidate is leaving or excluded by the query.
    virtual std::optional<endpoint_id> choose(time_point now,
                                              std::vector<route_candidate> const& candidates,
                                              route_query const& query, random_source& random) = 0;

    /// Records how an attempt ended. Not called for attempts that the caller cancelled.
    virtual void record(time_point, endpoint_id const&, route_outcome const&) {}
};

/// Chance that a candidate is chosen, and why it is not when that is zero.
struct route_chance
{
    lagoonladder::endpoint_id endpoint_id;
    double chance = 0;
    /// Failures exclude it while others do not fail.
    bool is_failing = false;
    /// Its load exceeds the mean by too much.
    bool is_over_bound = false;
};

struct balanced_route_options
{
    /// A candidate is left out when its load per slot exceeds the mean by this factor.
    double load_factor = 1.5;
    /// Load per slot up to which a candidate is never left out.
    double idle_load = 0.25;
    /// Number of endpoints, ranked by the prefix hash, from which a request with a prefix is
    /// served.
    std::uint32_t affinity_group = 2;
    /// Load per slot by which the cost of an endpoint with a full prefix match is reduced.
    double prefix_weight = 0.5;
    /// Load per slot that is added to the cost of an endpoint in another data centre.
    double remote_penalty = 0.1;
    /// Time in which the traffic of a new or recovered endpoint grows to its full share.
    duration ramp_up = seconds(10);
    /// Fraction of its full share with which a new or recovered endpoint starts.
    double ramp_start = 0.1;
    /// Number of consecutive failures after which an endpoint is excluded.
    std::uint32_t failures_to_exclude = 3;
    /// Duration of the first exclusion; doubles with each further failed probe.
    duration exclusion = seconds(1);
    duration max_exclusion = seconds(30);
    /// Time after which the state of an endpoint that was no candidate is dropped.
    duration max_idle = std::chrono::minutes(1);
};

/// Default policy: power of two choices among the candidates with prefix affinity whose load is
/// bounded. It prefers endpoints in the same data centre, ramps up new and recovered endpoints, and
/// excludes failing ones. When all candidates are failing, it chooses among them.
class balanced_route_policy : public route_policy
{
public:
    explicit balanced_route_policy(balanced_route_options options = {});

    std::optional<endpoint_id> choose(time_point now,
                                      std::vector<route_candidate> const& candidates,
                                      route_query const& query, random_source& random) override;
    void record(time_point now, endpoint_id const& endpoint, route_outcome const& outcome) override;

    /// Returns the chance of each candidate that choose() would choose it now. Changes nothing.
    std::vector<route_chance> chances(time_point now,
                                      std::vector<route_candidate> const& candidates,
                                      route_query const& query) const;

    /// Whether failures exclude the endpoint from ordinary choices at this time.
    bool is_excluded(time_point now, endpoint_id const& endpoint) const;

private:
    struct health
    {
        time_point ramp_started{};
        /// Last time at which the endpoint was a candidate.
        time_point last_candidate{};
        std::uint32_t failures = 0;
        std::uint32_t exclusions = 0;
        time_point excluded_until{};
        bool probing = false;
        time_point probe_started{};
        /// Moving average, in seconds, of the time per token, or per request when there are no
        /// tokens.
        double mean_time = 0;
        std::uint32_t samples = 0;
        time_point last_sample{};
    };

    /// A candidate with its load and cost for one request.
    struct rated_candidate
    {
        route_candidate const* candidate = nullptr;
        /// Load per slot including this request, corrected by the speed of the endpoint.
        double load = 0;
        double cost = 0;
        /// Share of ordinary traffic during ramp-up, relative to the other candidates.
        double share = 1;
    };

    using rated_list = std::vector<rated_candidate>;

    /// Adds new candidates and drops the state of endpoints that are no longer candidates.
    void update_endpoints(time_point now, std::vector<route_candidate> const& candidates);
    double ramp_share(time_point now, health const& state) const;
    static bool is_blocked(time_point now, health const& state);
    /// Time of a unit at the endpoint as a multiple of the median; 1 when it is not known.
    static double relative_time(time_point now, health const& state, double median);
    double median_time(std::vector<route_candidate> const& candidates) const;
    /// Returns the healthy candidates that are neither leaving nor excluded by the query; when all
    /// of these are failing, returns the failing ones.
    rated_list find_eligible(time_point now, std::vector<route_candidate> const& candidates,
                             route_query const& query) const;
    /// Computes load, cost and share of all candidates.
    void rate(time_point now, route_query const& query, double median, rated_list& all) const;
    /// Returns the candidates whose load does not exceed the mean by too much.
    rated_list within_bound(rated_list const& all) const;
    /// Returns the affinity group of the query, or all candidates when it has no prefix.
    rated_list select_affinity_group(rated_list all, route_query const& query) const;
    static rated_candidate const& choose_of_two(rated_list const& group, random_source& random);
    /// Whether the second of two drawn candidates wins the comparison.
    static bool is_second_better(rated_candidate const& first, rated_candidate const& second);
    /// Adds the chance of each member of the group that choose_of_two() returns it.
    static void add_chances(rated_list const& group,
                            std::map<endpoint_id, route_chance*> const& results);
    void record_failure(time_point now, health& state, bool unreachable) const;
    static void record_success(time_point now, health& state, route_outcome const& outcome);
    void record_probe(time_point now, endpoint_id const& endpoint);

    balanced_route_options options;
    std::map<endpoint_id, health> endpoints;
    time_point last_prune{};
};

/// Chooses the candidates in turn; a baseline for comparisons.
class round_robin_route_policy : public route_policy
{
public:
    std::optional<endpoint_id> choose(time_point now,
                                      std::vector<route_candidate> const& candidates,
                                      route_query const& query, random_source& random) override;

private:
    std::uint64_t turn = 0;
};

/// Chooses the candidate with the smallest `load` per slot; the first one of equal candidates. With
/// the last report as `load`, this is the usual least-reported-load baseline.
class least_load_route_policy : public route_policy
{
public:
    std::optional<endpoint_id> choose(time_point now,
                                      std::vector<route_candidate> const& candidates,
                                      route_query const& query, random_source& random) override;
};

} // namespace lagoonladder::request

#endif
