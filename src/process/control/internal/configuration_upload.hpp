#ifndef LAGOONLADDER_CONTROL_CONFIGURATION_UPLOAD_HPP
#define LAGOONLADDER_CONTROL_CONFIGURATION_UPLOAD_HPP

#include <deque>
#include <functional>
#include <memory>
#include <optional>

#include "leader_client.hpp"

namespace lagoonladder::control
{

/// Puts one pass-through configuration in force. A large content goes into the log in
/// parts, which stay there when this daemon or the leader is lost, so that the next
/// attempt goes on with what is missing. Lives on the control thread.
class configuration_upload : public std::enable_shared_from_this<configuration_upload>
{
public:
    /// Gets no value when no quorum confirmed the command in time.
    using handler = std::function<void(std::optional<version::apply_map_result> const&)>;

    configuration_upload(leader_client& client, version::apply_service_map wanted, time_point end,
                         handler on_done);

    /// Calls the handler once; keeps itself alive until then.
    void start();

private:
    /// Proposes the command, without bytes when they go in parts.
    void propose_order();
    void take_result(version::apply_map_result const& result);
    void send_parts(std::vector<std::uint64_t> const& held);
    void send_next_part();
    void finish(std::optional<version::apply_map_result> const& result);

    leader_client& leaders;
    version::apply_service_map const order;
    time_point const deadline;
    handler done;
    bool const goes_in_parts;
    std::deque<version::content_part> waiting;
    std::size_t in_flight = 0;
};

} // namespace lagoonladder::control

#endif
