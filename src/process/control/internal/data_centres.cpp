#include <lagoonladder/control/data_centres.hpp>

#include <algorithm>

namespace lagoonladder::control
{

bool is_known_data_centre(config::settings const& options, control_view const& view,
                          data_centre_id const& data_centre)
{
    if (view.shared && view.shared->evacuations.contains(data_centre))
        return true;
    if (!options.data_centres.empty())
        return options.data_centres.contains(data_centre);
    auto const has_row = [&](auto const& rows)
    {
        return std::any_of(rows.begin(), rows.end(),
                           [&](auto const& row) { return row.data_centre == data_centre; });
    };
    return has_row(view.entries) ||
           std::any_of(view.endpoints.begin(), view.endpoints.end(),
                       [&](auto const& service) { return has_row(service.second); });
}

} // namespace lagoonladder::control
