#ifndef LAGOONLADDER_CONTROL_DATA_CENTRES_HPP
#define LAGOONLADDER_CONTROL_DATA_CENTRES_HPP

#include <lagoonladder/config.hpp>
#include <lagoonladder/control/control_plane.hpp>

namespace lagoonladder::control
{

/// Returns whether the deployment has the data centre: the settings list it or, if they list none,
/// an entry or endpoint is in it. A data centre that was evacuated before stays known, since an
/// accepted order may be resent.
bool is_known_data_centre(config::settings const& options, control_view const& view,
                          data_centre_id const& data_centre);

} // namespace lagoonladder::control

#endif
