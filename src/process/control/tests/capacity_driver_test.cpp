#include <catch2/catch.hpp>

#include "capacity_driver.hpp"

using namespace lagoonladder;
using namespace lagoonladder::control;

namespace
{

service_name const engines("llm");

/// Keeps the last order of each kind and data centre.
class order_book : public proxy::platform_duties
{
public:
    void report_usage(holder const&, std::uint64_t, std::map<account_id, std::uint64_t> const&,
                      std::function<void(bool)> done) override
    {
        done(true);
    }

    void order_capacity(holder const&, capacity_order const& order,
                        std::function<void(bool)> done) override
    {
        this->orders[{order.data_centre, order.reclaimable}] = order.replicas;
        done(true);
    }

    std::uint32_t total() const
    {
        std::uint32_t sum = 0;
        for (auto const& [key, replicas] : this->orders)
            sum += replicas;
        return sum;
    }

    std::uint32_t on_demand() const
    {
        std::uint32_t sum = 0;
        for (auto const& [key, replicas] : this->orders)
            sum += key.second ? 0 : replicas;
        return sum;
    }

    std::map<std::pair<data_centre_id, bool>, std::uint32_t> orders;
};

control_view view_of(std::size_t replicas, double demand = 0)
{
    version::service_map map;
    version::pass_through_service service;
    service.name = engines;
    service.is_engine = true;
    service.scaling.emplace();
    service.scaling->min_replicas = 1;
    service.scaling->max_replicas = 60;
    service.scaling->reclaimable_price = 0.2;
    control_view view;
    for (auto const* name : {"a", "b", "c", "d"})
        service.scaling->prices[data_centre_id(name)] = 1;
    map.services.push_back(service);
    auto shared = std::make_shared<version::shared_state>();
    shared->services = std::make_shared<version::service_index const>(map);
    view.shared = shared;
    for (std::size_t i = 0; i < replicas; ++i)
    {
        connection::endpoint_record row;
        row.id = endpoint_id(std::to_string(i));
        row.service = engines;
        row.data_centre = data_centre_id(std::string(1, static_cast<char>('a' + i % 4)));
        view.endpoints[engines].push_back(row);
    }
    connection::entry_record entry;
    if (demand > 0)
        entry.demand[account_id("t")] = demand;
    view.entries.push_back(entry);
    return view;
}

struct held_duty
{
    /// One step a second, in which all endpoints announce themselves.
    void step_for(int steps, control_view view)
    {
        for (int i = 0; i < steps; ++i)
        {
            for (auto& row : view.endpoints[engines])
                row.sequence = ++this->sequence;
            this->step(view);
        }
    }

    void step(control_view const& view)
    {
        this->driver.step(view, this->platform, {vm_id("v"), 1});
        this->time.advance(seconds(1));
    }

    std::uint64_t sequence = 0;

    null_event_sink events;
    manual_clock time;
    order_book platform;
    capacity_driver driver{this->events, this->time};
};

} // namespace

TEST_CASE("most replicas of a large system stay until callers come")
{
    // Guards against a fixed first demand: 90 engines were released down to 9 before the
    // first callers came, who then found no capacity for ten seconds.
    held_duty duty;
    duty.step_for(20, view_of(90));
    CHECK(duty.platform.total() >= 60);
}

TEST_CASE("no replica is released before the callers' demand is known")
{
    // Guards against callers who find a third of the engines gone in their first seconds.
    held_duty duty;
    duty.step_for(20, view_of(90));
    CHECK(duty.platform.on_demand() >= 90);
    duty.step_for(5, view_of(90, 1'000'000));
    CHECK(duty.platform.on_demand() >= 90);
}

TEST_CASE("replicas that fell silent are replaced before their lease ends")
{
    // Guards against crashed engines that count as serving until their lease has run out,
    // while callers find too few.
    held_duty duty;
    auto view = view_of(90, 2'700'000);
    auto& rows = view.endpoints[engines];
    constexpr std::size_t on_demand = 18;
    for (auto i = on_demand; i < rows.size(); ++i)
        rows[i].reclaimable = true;
    auto const announce_and_step = [&](std::size_t living, int steps)
    {
        for (int step = 0; step < steps; ++step)
        {
            for (std::size_t i = 0; i < living; ++i)
                ++rows[i].sequence;
            duty.step(view);
        }
    };
    announce_and_step(90, 20);
    CHECK(duty.platform.on_demand() == on_demand);
    announce_and_step(50, 7);
    CHECK(duty.platform.on_demand() >= on_demand + 40);
}

TEST_CASE("replicas that were ordered do not make the first demand larger")
{
    held_duty duty;
    duty.step_for(5, view_of(90));
    auto const first = duty.platform.total();
    duty.step_for(10, view_of(150));
    CHECK(duty.platform.total() <= first);
}

TEST_CASE("endpoints that become known late are not released unseen")
{
    held_duty duty;
    duty.step_for(1, view_of(5));
    duty.step_for(1, view_of(40));
    duty.step_for(10, view_of(90));
    CHECK(duty.platform.total() >= 60);
}

TEST_CASE("a new holder of the duty orders for the callers that are there")
{
    // Guards against orders for all replicas that run while on-demand ones are replaced by
    // reclaimable ones: twice as many as callers need.
    held_duty duty;
    auto view = view_of(186, 2'700'000);
    for (std::size_t i = 0; i < 96; ++i)
        view.endpoints[engines][i].reclaimable = true;
    duty.step_for(10, view);
    CHECK(duty.platform.total() >= 90);
    CHECK(duty.platform.total() <= 120);
}

TEST_CASE("a new holder of the duty releases nothing for a demand that has just begun")
{
    // Guards against a change of the leader in the first second of the traffic, when the
    // demand that is told is a small part of what comes.
    held_duty duty;
    duty.step_for(1, view_of(90, 20'000));
    duty.step_for(4, view_of(90, 2'700'000));
    CHECK((duty.platform.on_demand() == 0 || duty.platform.on_demand() >= 90));
}

TEST_CASE("replicas follow the demand once callers have come")
{
    held_duty duty;
    duty.step_for(5, view_of(90));
    auto view = view_of(90, 300'000);
    for (std::size_t i = 0; i < 45; ++i)
        view.endpoints[engines][i].reclaimable = true;
    duty.step_for(30, view);
    CHECK(duty.platform.total() <= 20);
}

TEST_CASE("no replica is released while its service moves to another version")
{
    // Guards against a move without evidence: the replicas of the new version were released as
    // more than the demand needs, and every version was reversed in the end.
    held_duty duty;
    duty.step_for(5, view_of(9, 200'000));
    auto const before = duty.platform.total();
    auto view = view_of(18, 200'000);
    auto shared = std::make_shared<version::shared_state>(*view.shared);
    version::move_record move;
    move.service = engines;
    shared->moves.push_back(move);
    view.shared = shared;
    duty.platform.orders.clear();
    duty.step_for(12, view);
    CHECK(duty.platform.on_demand() == 0);
    // The platform stops the old version some time after the move has finished.
    shared = std::make_shared<version::shared_state>(*shared);
    shared->moves.back().state = version::move_state::finished;
    view.shared = shared;
    for (std::size_t i = 0; i < 9; ++i)
        view.endpoints[engines][i].version = version_name("v2");
    duty.step_for(4, view);
    CHECK(duty.platform.on_demand() == 0);
    view.endpoints[engines].resize(9);
    duty.step_for(20, view);
    CHECK(duty.platform.total() <= before);
}
