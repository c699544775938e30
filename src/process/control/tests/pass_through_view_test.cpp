#include <catch2/catch.hpp>

#include <numeric>

#include "pass_through_view.hpp"

using namespace lagoonladder;
using namespace lagoonladder::control;

namespace
{

proxy::traffic_view make_view(std::size_t entries)
{
    proxy::traffic_view view;
    view.serving.resize(entries);
    return view;
}

std::map<account_id, double> make_demand(std::size_t accounts)
{
    std::map<account_id, double> demand;
    for (std::size_t i = 0; i < accounts; ++i)
        demand[account_id("tenant-" + std::to_string(i))] = 100.5;
    return demand;
}

double total_demand(std::map<account_id, double> const& demand)
{
    return std::accumulate(demand.begin(), demand.end(), 0.0,
                           [](double sum, auto const& item) { return sum + item.second; });
}

std::size_t row_bytes(std::map<account_id, double> const& demand)
{
    connection::entry_record row;
    row.vm = vm_id("entry-1");
    row.demand = demand;
    return nlohmann::json::to_msgpack(nlohmann::json(row)).size();
}

} // namespace

TEST_CASE("rows of a large system carry only the total demand")
{
    // Guards against rows that grow with the number of accounts: each heartbeat of 86 entries
    // carried the demand of 16 accounts to all others, which only needed the total.
    auto const demand = make_demand(16);
    auto const published = demand_to_publish(make_view(86), demand, total_demand(demand));
    CHECK(published.size() == 1);
    CHECK(total_demand(published) == Approx(total_demand(demand)));
    CHECK(row_bytes(published) < row_bytes({}) + 20);
}

TEST_CASE("rows of a large system leave out what quotas refused")
{
    // Guards against engines that are ordered for calls which their account's quota refuses.
    auto const demand = make_demand(16);
    auto const published = demand_to_publish(make_view(86), demand, total_demand(demand) / 3);
    CHECK(total_demand(published) == Approx(total_demand(demand) / 3));
}

TEST_CASE("rows of a small system carry the demand of each account")
{
    // Guards against quotas that are split equally although one entry has all the callers, also
    // right after a system has lost half of its entries.
    auto const demand = make_demand(16);
    CHECK(demand_to_publish(make_view(1), demand, 0) == demand);
    CHECK(demand_to_publish(make_view(10), demand, 0) == demand);
    CHECK(demand_to_publish(make_view(32), demand, 0) == demand);
}

TEST_CASE("an entry without callers publishes no demand")
{
    // Guards against a total of 0 under an empty account id in the row of each idle entry.
    CHECK(demand_to_publish(make_view(86), {}, 0).empty());
}

TEST_CASE("a version whose move was reversed gets no calls during a later move")
{
    // Guards against calls to a version that was reversed while the service moves to another one:
    // its endpoints, which still serve, counted as those of the old version.
    auto const make_move = [](char const* to, version::move_state state)
    {
        version::move_record move;
        move.service = service_name("s");
        move.to = version_name(to);
        move.state = state;
        return move;
    };
    auto shared = std::make_shared<version::shared_state>();
    shared->moves = {make_move("v2", version::move_state::reversed),
                     make_move("v3", version::move_state::running)};
    control_view control;
    control.shared = shared;
    auto const reversed = [&]
    { return make_traffic_view(control, {})->reversed.at(service_name("s")); };
    CHECK(reversed() == std::set{version_name("v2")});
    shared->moves.push_back(make_move("v4", version::move_state::reversed));
    CHECK(reversed() == std::set{version_name("v2"), version_name("v4")});
    shared->moves.push_back(make_move("v2", version::move_state::running));
    CHECK(reversed() == std::set{version_name("v4")});
}
