#ifndef LAGOONLADDER_DAEMON_CONTROL_PLANE_HPP
#define LAGOONLADDER_DAEMON_CONTROL_PLANE_HPP

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <lagoonladder/connection.hpp>
#include <lagoonladder/version.hpp>

namespace lagoonladder::daemon
{

/// Errors of the daemon layer.
class daemon_error : public error
{
public:
    using error::error;
};

/// The command was not proposed and will not be: nothing has changed.
class not_proposed_error : public daemon_error
{
public:
    using daemon_error::daemon_error;
};

/// The command may or may not take effect: no quorum answered in time.
class outcome_unknown_error : public daemon_error
{
public:
    using daemon_error::daemon_error;
};

/// Control state as traffic threads see it. Immutable.
struct control_view
{
    /// False until the state was read through a quorum after the start; nothing
    /// is served before.
    bool ready = false;
    /// False while no voter answers that has heard from a quorum.
    bool quorum_recent = false;
    /// This daemon is stopping; the entry list no longer names it.
    bool leaving = false;
    std::uint64_t term = 0;
    std::string leader;
    std::shared_ptr<version::shared_state const> shared;
    /// Endpoints with a valid lease, leaving ones included.
    std::map<service_name, std::vector<connection::endpoint_record>> endpoints;
    /// All entries that are not dead, this one included.
    std::vector<connection::entry_record> entries;
    /// Entry directory at the time of publication: order for callers, companions.
    std::shared_ptr<connection::entry_directory const> directory;
    /// Voter ids as this daemon's log knows them; empty without a log.
    std::vector<std::string> voters;
};

/// What the traffic threads ask of the control thread. All functions may be
/// called from any thread except the control thread.
class control_plane
{
public:
    virtual ~control_plane() = default;

    virtual std::shared_ptr<control_view const> view() const = 0;

    /// Commits a command through the quorum. Throws not_proposed_error or
    /// outcome_unknown_error.
    virtual version::command_result propose(version::command_body body, duration timeout) = 0;

    /// Current record of a key, read through the quorum; no value when there is none.
    /// Throws outcome_unknown_error when no quorum answers.
    virtual std::optional<request::once_reply> find_once(request::once_key const& key,
                                                         duration timeout) = 0;

    /// Takes an announcement, renewal or `leaving` of an endpoint.
    virtual void announce(connection::endpoint_record record) = 0;

    /// An endpoint asked to be removed.
    virtual void remove_endpoint(endpoint_id const& id) = 0;

    /// Adds to the counts that go to the leader with the next report.
    virtual void record_traffic(version::traffic_sample const& sample) = 0;

    /// The daemon, or the VM that an operator named, takes no new work from now on.
    virtual void set_leaving(vm_id const& vm) = 0;

    /// Number of requests in progress, for the gossip row of this entry.
    virtual void set_open_requests(std::uint32_t count) = 0;
};

} // namespace lagoonladder::daemon

#endif
