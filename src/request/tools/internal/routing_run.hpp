#ifndef LAGOONLADDER_REQUEST_TOOLS_ROUTING_RUN_HPP
#define LAGOONLADDER_REQUEST_TOOLS_ROUTING_RUN_HPP

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <replica_model.hpp>
#include <sample_set.hpp>

#include <lagoonladder/request.hpp>

namespace lagoonladder::study
{

/// Route policy whose results are compared.
enum class compared_policy
{
    balanced,
    round_robin,
    least_reported_load
};

char const* to_string(compared_policy policy);

/// Load and faults of a run.
struct routing_scenario
{
    std::string name;
    double requests_per_second = 28;
    /// Factor of the arrival rate for 5 s of every 30 s.
    double burst = 1;
    /// Time from the measurement of a load report to its arrival, in seconds.
    double report_delay = 2;
    bool has_slow_replica = false;
    bool is_zone_reclaimed = false;
};

struct routing_results
{
    std::uint64_t offered = 0;
    std::uint64_t in_time = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    std::uint64_t given_up = 0;
    double recomputed_tokens = 0;
    /// Seconds from arrival to the first token.
    sample_set first_token;
    /// Age in seconds of the oldest request over all entries, sampled every 100 ms.
    sample_set queue_age;
};

/// Simulates nine replicas in three zones behind four entries for 180 s.
class routing_run
{
public:
    routing_run(routing_scenario scenario, compared_policy policy, std::uint64_t seed);

    routing_results run();

private:
    struct replica
    {
        replica_model model;
        endpoint_id id;
        std::string zone;
        bool leaving = false;
        bool is_stopped = false;
        std::uint32_t reported_running = 0;
        std::uint32_t reported_waiting = 0;
        std::uint64_t cache_sequence = 0;
    };

    struct report
    {
        double arrives = 0;
        std::size_t replica = 0;
        std::uint64_t sequence = 0;
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        std::vector<cache_message> cache;
    };

    struct entry
    {
        std::unique_ptr<request::route_policy> policy;
        request::load_estimate load;
        request::prefix_index prefixes;
        request::admission_queue queue;
        std::uint32_t in_flight = 0;
        std::string data_centre;
    };

    time_point now() const;
    void add_entry(std::size_t index);
    void generate_arrivals();
    void offer(model_request const& request);
    void dispatch(std::size_t entry_index);
    void send(std::size_t entry_index, model_request request);
    void deliver_cache_messages(replica& from, std::vector<cache_message> const& messages);
    std::vector<request::route_candidate> candidates(entry const& from, std::uint64_t prefix) const;
    /// Number of requests that one entry may have in flight.
    std::uint32_t max_in_flight() const;
    void advance_replicas();
    void finish(std::size_t replica_index, model_request const& request);
    void exchange_reports();
    void reclaim_zone();
    void expire();

    routing_scenario scenario;
    compared_policy compared;
    seeded_random random;
    routing_results result;
    std::vector<replica> replicas;
    std::vector<entry> entries;
    std::deque<report> reports;
    std::map<std::uint64_t, model_request> queued_requests;
    double time = 0;
    std::uint64_t next_number = 0;
    std::uint64_t report_sequence = 0;
    double next_arrival = 0;
};

} // namespace lagoonladder::study

#endif
