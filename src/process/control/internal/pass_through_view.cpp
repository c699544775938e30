#include "pass_through_view.hpp"

#include <lagoonladder/control/service_versions.hpp>

namespace lagoonladder::control
{

namespace
{

/// The demand of the accounts, which the log lines of refused calls state, is published up to this
/// multiple of the number of entries that split quotas, so that it is known when many entries leave
/// at once and the few that remain split the quotas.
constexpr std::size_t account_demand_margin = 2;

} // namespace

std::shared_ptr<proxy::traffic_view const> make_traffic_view(control_view const& control,
                                                             config::settings const& config)
{
    auto view = std::make_shared<proxy::traffic_view>();
    view->is_ready = control.ready;
    view->is_leaving = control.leaving;
    view->configuration_expiry = control.configuration_expiry;
    view->vm = config.vm;
    view->data_centre = config.data_centre;
    view->portion = control.portion;
    view->regions = config.data_centres;
    if (!control.shared)
        return view;
    view->services = control.shared->services;
    view->splits = control.shared->splits;
    for (auto const& [service, versions] : find_reversed_versions(*control.shared))
    {
        view->reversed[service] = versions.all;
        view->undecided[service] = versions.undecided;
    }
    view->evacuated = version::evacuated_data_centres(control.shared->evacuations);
    view->endpoints = control.endpoints;
    for (auto const& entry : control.entries)
    {
        if (!entry.pass_through.value().empty() && entry.state == connection::entry_state::serving)
            view->serving.push_back({entry.vm, entry.control});
        for (auto const& [account, rate] : entry.demand)
        {
            auto& account_demand = view->demand[account];
            (entry.vm == config.vm ? account_demand.own : account_demand.others) += rate;
        }
    }
    view->entries = std::max(static_cast<std::uint32_t>(view->serving.size()), 1U);
    return view;
}

std::map<account_id, double> demand_to_publish(proxy::traffic_view const& view,
                                               std::map<account_id, double> const& demand,
                                               double granted)
{
    auto const max_entries_with_account_demand =
        account_demand_margin * proxy::max_entries_splitting_quotas();
    if (demand.empty() || view.serving.size() <= max_entries_with_account_demand)
        return demand;
    return {{account_id(), granted}};
}

} // namespace lagoonladder::control
