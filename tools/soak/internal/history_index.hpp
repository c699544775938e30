#ifndef LAGOONLADDER_SOAK_HISTORY_INDEX_HPP
#define LAGOONLADDER_SOAK_HISTORY_INDEX_HPP

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <lagoonladder/soak.hpp>

namespace lagoonladder::soak
{

/// The versions that contain a route: from `added` until before `removed`.
struct route_life
{
    config_version added{};
    std::optional<config_version> removed;
};

/// A time in which an entry was down, frozen or without room on its disk.
struct disturbance
{
    entry_id entry{};
    bool has_disk = false;
    run_time begin{};
    run_time end{};
};

/// Questions about a history that several checks ask. Keeps a reference to the history.
class history_index
{
public:
    explicit history_index(history const& initial_recorded);

    /// Newest valid version that was acknowledged at or before `time`; version 0: none.
    config_version newest_acknowledged(run_time time) const;
    /// Newest valid version that may have been sent at or before `time`; version 0: none.
    config_version newest_sent(run_time time) const;
    bool was_sent(config_version version, run_time time) const;
    bool is_valid(config_version version) const;
    /// Returns nullptr for a route that no version has.
    route_life const* find_route(std::string const& route) const;

    /// True when neither the entry nor an entry with a disk was disturbed from `contact` before
    /// `begin` until `end`. After the final fault, which harms all, it takes twice as long.
    bool is_in_touch(entry_id entry, run_time begin, run_time end, duration contact) const;
    /// True when the entry itself was not disturbed in the span.
    bool is_undisturbed(entry_id entry, run_time begin, run_time end) const;
    /// Number of starts of the entry's process until `time`.
    std::size_t incarnation(entry_id entry, run_time time) const;
    /// End of the last freeze of the entry that overlaps the span.
    std::optional<run_time> last_thaw(entry_id entry, run_time begin, run_time end) const;
    std::vector<disturbance> const& all_disturbances() const { return this->disturbances; }

    history const& recorded_history() const { return this->recorded; }

private:
    void index_changes();
    void index_puts();
    void index_faults();
    void index_process(fault_event const& event);

    using version_at = std::pair<run_time, config_version>;

    history const& recorded;
    std::vector<version_at> acknowledged;
    std::vector<version_at> sent;
    std::map<config_version, change_event const*> changes;
    std::map<std::string, route_life> routes;
    std::vector<disturbance> disturbances;
    std::vector<disturbance> freezes;
    std::map<entry_id, std::vector<run_time>> starts;
};

/// Calls on removed routes that ran, sent later than allowed. In touch or not.
std::vector<call_event const*> find_late_runs(history_index const& index,
                                              check_bounds const& bounds);

/// True when a route has been in force, or removed, for so long that a call must be handled so.
bool must_be_served(history_index const& index, check_bounds const& bounds, call_event const& call);
bool must_be_removed(history_index const& index, check_bounds const& bounds,
                     call_event const& call);

} // namespace lagoonladder::soak

#endif
