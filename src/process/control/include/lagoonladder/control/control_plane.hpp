#ifndef LAGOONLADDER_CONTROL_CONTROL_PLANE_HPP
#define LAGOONLADDER_CONTROL_CONTROL_PLANE_HPP

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <lagoonladder/connection.hpp>
#include <lagoonladder/version.hpp>

namespace lagoonladder::control
{

/// Errors of the control layer.
class control_error : public error
{
public:
    using error::error;
};

enum class proposal_status
{
    committed,
    /// Not proposed, or replaced by another entry: it never takes effect.
    not_proposed,
    /// No quorum answered in time: it may or may not take effect.
    unknown
};

struct proposal_outcome
{
    proposal_status status = proposal_status::unknown;
    version::command_result result;
};

/// Result of a look-up that is read through the quorum.
enum class find_status
{
    found,
    not_found,
    /// No quorum answered in time.
    unavailable
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
    /// A newer configuration than the one in `shared` is known to be in force.
    bool knows_newer = false;
    /// Endpoints with a valid lease, leaving ones included.
    std::map<service_name, std::vector<connection::endpoint_record>> endpoints;
    /// All entries that are not dead, this one included.
    std::vector<connection::entry_record> entries;
    /// Entry directory at the time of publication: order for callers, companions.
    std::shared_ptr<connection::entry_directory const> directory;
    /// Voter ids as this daemon's log knows them; empty without a log.
    std::vector<std::string> voters;
};

/// What the traffic threads ask of the control thread. All functions may be called from
/// any thread; handlers are called on any thread and must not block.
class control_plane
{
public:
    virtual ~control_plane() = default;

    using proposal_handler = std::function<void(proposal_outcome const&)>;
    using find_handler =
        std::function<void(find_status, std::optional<request::at_most_once_reply> const&)>;

    virtual std::shared_ptr<control_view const> view() const = 0;

    /// Commits a command through the quorum.
    virtual void propose(version::command_body body, duration timeout, proposal_handler done) = 0;

    /// Current record of a key, read through the quorum.
    virtual void find_once(request::at_most_once_key const& key, duration timeout, find_handler done) = 0;

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

} // namespace lagoonladder::control

#endif
