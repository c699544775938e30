#ifndef LAGOONLADDER_CONTROL_CONFIGURATION_UPLOAD_HPP
#define LAGOONLADDER_CONTROL_CONFIGURATION_UPLOAD_HPP

#include <deque>
#include <functional>
#include <memory>
#include <optional>

#include "leader_client.hpp"

namespace lagoonladder::control
{

/// Upload of one pass-through configuration through the quorum. Large contents are committed in
/// parts, which stay in the log when this daemon or the leader fails, so that the next attempt
/// only sends the missing parts. Runs on the control thread.
class configuration_upload : public std::enable_shared_from_this<configuration_upload>
{
public:
    /// Receives no value when no quorum confirmed the command in time.
    using handler = std::function<void(std::optional<version::apply_map_result> const&)>;

    configuration_upload(leader_client& client, version::apply_service_map command, time_point end,
                         handler on_done);

    /// Starts the upload, which keeps itself alive until it has called the handler, once.
    void start();

private:
    /// Proposes the configuration, without its bytes when they are sent in parts.
    void propose_configuration();
    void handle_result(version::apply_map_result const& result);
    void send_parts(std::vector<std::uint64_t> const& held_parts);
    void send_next_part();
    void finish(std::optional<version::apply_map_result> const& result);

    leader_client& consensus_group;
    version::apply_service_map const configuration;
    time_point const deadline;
    handler done;
    bool const is_multipart;
    std::deque<version::content_part> waiting_parts;
    std::size_t parts_in_flight = 0;
};

} // namespace lagoonladder::control

#endif
