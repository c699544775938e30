#ifndef LAGOONLADDER_CONNECTION_LEAVING_ACKNOWLEDGER_HPP
#define LAGOONLADDER_CONNECTION_LEAVING_ACKNOWLEDGER_HPP

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include <lagoonladder/base.hpp>

namespace lagoonladder::connection
{

struct leaving_acknowledger_options
{
    /// Other entries that have to hold a leaving mark before it is acknowledged, so that the mark
    /// survives the loss of this entry and of one more.
    std::size_t required_holders = 2;
    /// Time after which a mark is acknowledged with fewer holders, or refused when there are none.
    /// An endpoint takes an acknowledgement for a second only.
    duration timeout = milliseconds(600);
    /// How long the holders of a mark are remembered after its last use.
    duration retention = std::chrono::minutes(2);
};

/// Decides when an entry may acknowledge to an endpoint that it is leaving. After the
/// acknowledgement the endpoint does not report its leaving again, so other entries have to hold
/// the mark by then. Not thread-safe.
class leaving_acknowledger
{
public:
    /// Receives whether the mark may be acknowledged.
    using handler = std::function<void(bool)>;

    explicit leaving_acknowledger(leaving_acknowledger_options options = {});

    /// Whether the mark of this incarnation of the endpoint is known.
    bool contains(endpoint_id const& id, incarnation incarnation) const;

    /// Adds a mark; the marks of earlier incarnations are dropped. Does nothing when it is known.
    void add(time_point now, endpoint_id const& id, incarnation incarnation);

    /// Records that another entry holds the mark. Marks that are not known are ignored.
    void record_holder(endpoint_id const& id, vm_id const& holder);

    /// Calls `done` once enough of the `available_entries` other entries hold the mark, or when the
    /// time for that has passed. The mark must be known.
    void wait(time_point now, endpoint_id const& id, std::size_t available_entries, handler done);

    /// Ends the waits whose time has passed and drops old marks.
    void expire(time_point now);

    /// Time at which `expire` is to be called; no value while nothing waits.
    std::optional<time_point> next_deadline() const;

private:
    struct pending_wait
    {
        time_point deadline{};
        std::size_t required_holders = 0;
        handler done;
    };

    struct mark_state
    {
        lagoonladder::incarnation incarnation;
        time_point last_used{};
        std::set<vm_id> holders;
        std::vector<pending_wait> waits;
    };

    leaving_acknowledger_options options;
    std::map<endpoint_id, mark_state> marks;
};

} // namespace lagoonladder::connection

#endif
