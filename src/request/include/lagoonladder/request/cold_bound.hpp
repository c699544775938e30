#ifndef LAGOONLADDER_REQUEST_COLD_BOUND_HPP
#define LAGOONLADDER_REQUEST_COLD_BOUND_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include <lagoonladder/base.hpp>

namespace lagoonladder::request
{

/// By how much the requests to a cold endpoint may exceed its rate in a second.
struct cold_tolerance
{
    /// Factor of the rate.
    double overshoot = 1.5;
    /// Requests allowed in addition.
    double slack = 5;
};

/// What a service states about its cold endpoints.
struct cold_limit
{
    /// Requests per second that a cold endpoint bears; 0 when there is no bound.
    double rate = 0;
    /// Time for which an endpoint is cold after its start.
    duration time{};
};

/// Whether an endpoint was known when it was observed.
enum class endpoint_sighting
{
    known,
    first,
    /// It has a new incarnation, or was absent.
    restarted
};

/// What an endpoint states about itself in its row of the endpoint directory.
struct endpoint_statement
{
    endpoint_id id;
    lagoonladder::incarnation incarnation;
    /// Increases with each statement of the incarnation.
    std::uint64_t sequence = 0;
    /// Time for which the endpoint stays cold; no value when it does not state it.
    std::optional<duration> cold_remaining;
};

/// Division of the rate of a cold endpoint among the entries.
struct cold_portions
{
    /// Number of entries that may send requests to the endpoint; 0 when the tolerance allows none.
    std::size_t holders = 0;
    /// Minimum time between two requests of one holder.
    duration interval{};
};

/// Divides the rate so that two groups of entries which do not know of each other, such as the
/// sides of a partition, stay within the tolerance together.
cold_portions plan_cold_portions(double rate, cold_tolerance const& tolerance, std::size_t entries);

/// Bounds the requests of all entries together to endpoints that are cold, without messages
/// between the entries: for each endpoint a few entries, chosen by rendezvous hashing, hold a
/// portion of its rate. Endpoints without a rate are tracked but never cold. Not safe for
/// concurrent calls.
class cold_bound
{
public:
    /// How late a statement in a row may arrive.
    static constexpr duration max_report_delay = seconds(2);
    /// Time after the start of the process in which this entry learns of the other entries and
    /// holds no portions.
    static constexpr duration settle_time = seconds(3);

    cold_bound(cold_tolerance const& allowed, time_point process_start);

    /// Sets the entries that serve calls, and whether this entry may use its portions.
    void set_entries(std::vector<vm_id> const& serving_entries, vm_id const& own_entry,
                     bool may_accrue);

    /// Begins a round of observations. An endpoint that was not observed in a whole round has been
    /// absent; its state is unknown when it returns.
    void begin_round();
    /// Takes the present row of an endpoint into account.
    endpoint_sighting observe(time_point now, cold_limit const& limit,
                              endpoint_statement const& row);
    /// The endpoint stated in an answer that it is cold for this time.
    void record_answer(time_point now, endpoint_id const& endpoint, duration cold_remaining);
    /// An event has left the state of the endpoint unknown, such as the end of an evacuation.
    void restart(time_point now, endpoint_id const& endpoint);
    /// This entry sends a request to the endpoint.
    void record_start(time_point now, endpoint_id const& endpoint);

    /// Returns whether the endpoint has been observed recently.
    bool contains(endpoint_id const& endpoint) const { return this->endpoints.contains(endpoint); }
    bool is_cold(time_point now, endpoint_id const& endpoint) const;
    /// Returns the time until this entry may send a request to the endpoint; zero when it may now.
    /// Without a portion here, the interval after which an entry with a portion has room.
    duration time_until_room(time_point now, endpoint_id const& endpoint) const;
    /// Returns the number of endpoints that are cold.
    std::size_t cold_endpoints(time_point now) const;

private:
    struct endpoint_state
    {
        lagoonladder::incarnation incarnation;
        std::uint64_t sequence = 0;
        /// Last round in which the endpoint was observed.
        std::uint64_t round = 0;
        cold_limit limit;
        time_point cold_until{};
        /// Rows that arrive earlier may be older than what set `cold_until`, and cannot shorten it.
        time_point rows_trusted_from{};
        /// Membership for which `rank` was computed.
        std::uint64_t ranked_membership = 0;
        /// Position of this entry in the rendezvous order; no value when it does not serve.
        std::optional<std::size_t> rank;
        bool has_portion = false;
        /// Time from which the portion of this entry has room. Kept when the portion ends, so that
        /// the next one cannot follow the last request too closely.
        time_point room_from{};
    };

    static void begin(time_point now, endpoint_state& state, endpoint_statement const& row);
    static void set_cold_until(time_point now, endpoint_state& state, time_point until);
    static void accept(time_point now, endpoint_state& state, endpoint_statement const& row);
    void update_portion(time_point now, endpoint_id const& endpoint, endpoint_state& state);
    void update_rank(endpoint_id const& endpoint, endpoint_state& state) const;
    cold_portions portions(endpoint_state const& state) const;

    cold_tolerance tolerance;
    time_point holds_from;
    std::map<endpoint_id, endpoint_state> endpoints;
    std::vector<vm_id> entries;
    vm_id own;
    bool may_use_portions = true;
    /// Incremented with each change of the entries.
    std::uint64_t membership = 1;
    std::uint64_t round = 0;
};

} // namespace lagoonladder::request

#endif
