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

/// Thrown when the cloud API does not respond or its response is unreadable.
class control_error : public error
{
public:
    using error::error;
};

/// What is known about a proposed command.
enum class proposal_status
{
    committed,
    /// Not proposed, or another command took its place in the log: it never takes effect.
    not_proposed,
    /// No quorum confirmed it in time: it may or may not take effect.
    unknown
};

struct proposal_outcome
{
    proposal_status status = proposal_status::unknown;
    /// Set only when the command was committed.
    version::command_result result;
};

/// Result of a lookup that is confirmed by a quorum.
enum class find_status
{
    found,
    not_found,
    /// No quorum confirmed the lookup in time.
    unavailable
};

/// Snapshot of the control state for the traffic threads. Immutable.
struct control_view
{
    /// True once the state was read through a quorum after the start. The daemon serves nothing
    /// before.
    bool ready = false;
    /// True while a voter that is in contact with a quorum can be reached.
    bool quorum_recent = false;
    /// This daemon is stopping; it is no longer in the entry list.
    bool leaving = false;
    std::uint64_t term = 0;
    std::string leader;
    std::shared_ptr<version::shared_state const> shared;
    /// From this time on, a configuration newer than the one in `shared` may be in force. It is
    /// past while one is known to be in force that is not available here.
    time_point configuration_expiry{};
    /// Endpoints with a valid lease, including leaving ones.
    std::map<service_name, std::vector<connection::endpoint_record>> endpoints;
    /// All entries that are not dead, including this one.
    std::vector<connection::entry_record> entries;
    /// Portion of the limits of the whole system that this entry has.
    connection::limit_portion portion;
    /// Entry directory at the time of publication. It gives the order in which callers try
    /// entries, and the companions.
    std::shared_ptr<connection::entry_directory const> directory;
    /// Voter ids according to this daemon's log; empty without a log.
    std::vector<std::string> voters;
};

/// Interface of the control thread for the traffic threads. All functions are thread-safe.
/// Handlers may run on any thread and must not block.
class control_plane
{
public:
    virtual ~control_plane() = default;

    using proposal_handler = std::function<void(proposal_outcome const&)>;
    using find_handler =
        std::function<void(find_status, std::optional<request::at_most_once_reply> const&)>;

    /// Returns the latest published snapshot; never null.
    virtual std::shared_ptr<control_view const> view() const = 0;

    /// Commits a command through the quorum.
    virtual void propose(version::command_body body, duration timeout, proposal_handler done) = 0;

    /// Looks up the record of an idempotency key through the quorum.
    virtual void find_once(request::at_most_once_key const& key, duration timeout,
                           find_handler done) = 0;

    /// Receives whether a change may be acknowledged to the endpoint. False when the endpoint is
    /// leaving and no other entry knows it yet; the endpoint has to report it to another entry.
    using acknowledgement_handler = connection::leaving_acknowledger::handler;

    /// Applies an endpoint's announcement, renewal or change to `leaving`.
    virtual void announce(connection::endpoint_record record, acknowledgement_handler done) = 0;

    /// Removes an endpoint at its own request.
    virtual void remove_endpoint(endpoint_id const& id, acknowledgement_handler done) = 0;

    /// Adds to the traffic counts that the next report sends to the leader.
    virtual void record_traffic(version::traffic_sample const& sample) = 0;

    /// Marks this daemon, or the VM that an operator named, as leaving: it accepts no new work
    /// from now on.
    virtual void set_leaving(vm_id const& vm) = 0;

    /// Sets the number of requests in progress, for the gossip row of this entry.
    virtual void set_open_requests(std::uint32_t count) = 0;
};

} // namespace lagoonladder::control

#endif
