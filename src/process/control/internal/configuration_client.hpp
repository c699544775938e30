#ifndef LAGOONLADDER_CONTROL_CONFIGURATION_CLIENT_HPP
#define LAGOONLADDER_CONTROL_CONFIGURATION_CLIENT_HPP

#include <lagoonladder/control/control_loop.hpp>

#include "content_fetcher.hpp"

namespace lagoonladder::control
{

/// Stores pass-through configurations and reads the newest one for operators. Runs on the control
/// thread.
class configuration_client
{
public:
    configuration_client(leader_client& client, content_fetcher& fetcher, telemetry const& sinks);

    /// Packs a configuration and commits it through the quorum. `done` receives a result with a
    /// problem when the configuration is refused.
    void apply(version::service_configuration const& configuration,
               control_loop::apply_handler done);

    /// Reads the newest configuration. The result reflects every configuration that was
    /// acknowledged before the call.
    void read(control_loop::read_handler done);

private:
    void refuse(version::service_configuration const& configuration, std::string const& problem,
                control_loop::apply_handler const& done);
    void read_document(version::content_digest const& digest, time_point deadline,
                       control_loop::read_handler const& done);
    void deliver_document(version::packed_content const& content,
                          control_loop::read_handler const& done);

    leader_client& consensus_group;
    content_fetcher& content_source;
    event_sink& events;
    clock const& time;
    /// Document that was read last and its digest, since operators read the same one repeatedly.
    version::content_digest last_digest;
    std::shared_ptr<std::string const> last_document;
};

} // namespace lagoonladder::control

#endif
