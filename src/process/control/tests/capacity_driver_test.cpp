#include <catch2/catch.hpp>

#include "capacity_driver.hpp"

using namespace lagoonladder;
using namespace lagoonladder::control;

namespace
{

service_name const engine_service("llm");

/// Platform that accepts all orders and records the latest one of each kind and data centre.
class recording_platform : public proxy::platform_duties
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

    /// Sum of the latest on-demand orders; 0 while there is none.
    std::uint32_t on_demand() const
    {
        std::uint32_t sum = 0;
        for (auto const& [key, replicas] : this->orders)
            sum += key.second ? 0 : replicas;
        return sum;
    }

    std::map<std::pair<data_centre_id, bool>, std::uint32_t> orders;
};

control_view make_view(std::size_t replicas, double demand = 0)
{
    version::service_map map;
    version::pass_through_service service;
    service.name = engine_service;
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
        row.service = engine_service;
        row.data_centre = data_centre_id(std::string(1, static_cast<char>('a' + i % 4)));
        view.endpoints[engine_service].push_back(row);
    }
    connection::entry_record entry;
    if (demand > 0)
        entry.demand[account_id("t")] = demand;
    view.entries.push_back(entry);
    return view;
}

struct capacity_driver_fixture
{
    explicit capacity_driver_fixture(config::engine_capacity mode = config::engine_capacity::fixed)
        : driver({this->events, this->metrics, this->time}, mode)
    {
    }

    /// Runs `steps` one-second steps; every endpoint announces itself before each step.
    void step_for(int steps, control_view view)
    {
        for (int i = 0; i < steps; ++i)
        {
            for (auto& row : view.endpoints[engine_service])
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
    recording_platform platform;
    observability::metrics metrics;
    capacity_driver driver;
};

} // namespace

TEST_CASE("engines are not ordered for calls beyond the quota of their account")
{
    // Guards against engines that stay idle because an account requests a multiple of its quota.
    auto const within_quota = make_view(16, 300'000);
    auto above_quota = make_view(16, 1'500'000);
    auto map = above_quota.shared->services->map();
    version::pass_through_account account;
    account.name = account_id("t");
    account.quota.emplace();
    account.quota->tokens_per_second = 300'000;
    map.accounts.push_back(account);
    auto shared = std::make_shared<version::shared_state>(*above_quota.shared);
    shared->services = std::make_shared<version::service_index const>(map);
    above_quota.shared = shared;
    capacity_driver_fixture expected;
    expected.step_for(20, within_quota);
    capacity_driver_fixture limited;
    limited.step_for(20, above_quota);
    CHECK(limited.platform.orders == expected.platform.orders);
}

TEST_CASE("most replicas of a large system are kept until callers arrive")
{
    // Guards against a fixed initial demand: 90 engines were reduced to 9 before the first callers
    // arrived, who then found no capacity for ten seconds.
    capacity_driver_fixture fixture;
    fixture.step_for(20, make_view(90));
    CHECK(fixture.platform.total() >= 60);
}

TEST_CASE("no replica is released before the callers' demand is known")
{
    // Guards against releasing a third of the engines during the first seconds of traffic.
    capacity_driver_fixture fixture;
    fixture.step_for(20, make_view(90));
    CHECK(fixture.platform.on_demand() >= 90);
    fixture.step_for(5, make_view(90, 1'000'000));
    CHECK(fixture.platform.on_demand() >= 90);
}

TEST_CASE("replicas that stop announcing themselves are replaced before their lease ends")
{
    // Guards against counting crashed engines as serving until their lease expires, while callers
    // find too few engines.
    capacity_driver_fixture fixture;
    auto view = make_view(90, 2'700'000);
    auto& rows = view.endpoints[engine_service];
    constexpr std::size_t on_demand = 18;
    for (auto i = on_demand; i < rows.size(); ++i)
        rows[i].reclaimable = true;
    auto const announce_and_step = [&](std::size_t announcing_rows, int steps)
    {
        for (int step = 0; step < steps; ++step)
        {
            for (std::size_t i = 0; i < announcing_rows; ++i)
                ++rows[i].sequence;
            fixture.step(view);
        }
    };
    announce_and_step(90, 20);
    CHECK(fixture.platform.on_demand() == on_demand);
    announce_and_step(50, 7);
    CHECK(fixture.platform.on_demand() >= on_demand + 40);
}

TEST_CASE("ordered replicas do not increase the initial demand")
{
    // Guards against orders that raise the assumed demand and so lead to further orders.
    capacity_driver_fixture fixture;
    fixture.step_for(5, make_view(90));
    auto const first = fixture.platform.total();
    fixture.step_for(10, make_view(150));
    CHECK(fixture.platform.total() <= first);
}

TEST_CASE("endpoints discovered after the first step are not released")
{
    // Guards against an initial demand that is derived from the first endpoints that a new duty
    // holder has received.
    capacity_driver_fixture fixture;
    fixture.step_for(1, make_view(5));
    fixture.step_for(1, make_view(40));
    fixture.step_for(10, make_view(90));
    CHECK(fixture.platform.total() >= 60);
}

TEST_CASE("a new duty holder orders capacity for the current callers")
{
    // Guards against counting all running replicas as needed while on-demand ones are replaced by
    // reclaimable ones: twice as many as callers need.
    capacity_driver_fixture fixture;
    auto view = make_view(186, 2'700'000);
    for (std::size_t i = 0; i < 96; ++i)
        view.endpoints[engine_service][i].reclaimable = true;
    fixture.step_for(10, view);
    CHECK(fixture.platform.total() >= 90);
    CHECK(fixture.platform.total() <= 120);
}

TEST_CASE("a new duty holder releases nothing when traffic has just started")
{
    // Guards against releasing replicas after a leader change in the first second of traffic, when
    // the reported demand is a small fraction of the actual one.
    capacity_driver_fixture fixture;
    fixture.step_for(1, make_view(90, 20'000));
    fixture.step_for(4, make_view(90, 2'700'000));
    // 0 while no on-demand order has been made.
    CHECK((fixture.platform.on_demand() == 0 || fixture.platform.on_demand() >= 90));
}

TEST_CASE("the number of replicas follows the demand once callers have arrived")
{
    // Guards against an initial demand that stays in effect although callers need far less.
    capacity_driver_fixture fixture;
    fixture.step_for(5, make_view(90));
    auto view = make_view(90, 300'000);
    for (std::size_t i = 0; i < 45; ++i)
        view.endpoints[engine_service][i].reclaimable = true;
    fixture.step_for(30, view);
    CHECK(fixture.platform.total() <= 20);
}

TEST_CASE("no replica is released while its service moves to another version")
{
    // Guards against moves in which no traffic shows whether the new version works: its replicas
    // were released as surplus, so that every move was reversed in the end.
    capacity_driver_fixture fixture;
    fixture.step_for(5, make_view(9, 200'000));
    auto const before = fixture.platform.total();
    auto view = make_view(18, 200'000);
    auto shared = std::make_shared<version::shared_state>(*view.shared);
    version::move_record move;
    move.service = engine_service;
    shared->moves.push_back(move);
    view.shared = shared;
    fixture.platform.orders.clear();
    fixture.step_for(12, view);
    CHECK(fixture.platform.on_demand() == 0);
    // The platform stops the old version some time after the move has finished.
    shared = std::make_shared<version::shared_state>(*shared);
    shared->moves.back().state = version::move_state::finished;
    view.shared = shared;
    for (std::size_t i = 0; i < 9; ++i)
        view.endpoints[engine_service][i].version = version_name("v2");
    fixture.step_for(4, view);
    CHECK(fixture.platform.on_demand() == 0);
    view.endpoints[engine_service].resize(9);
    fixture.step_for(20, view);
    CHECK(fixture.platform.total() <= before);
}

TEST_CASE("nothing is ordered in an evacuated data centre until the evacuation ends")
{
    // Guards against engines that are ordered where no request is sent, and against releasing those
    // that are needed again after the end.
    capacity_driver_fixture fixture;
    auto view = make_view(90, 2'700'000);
    auto shared = std::make_shared<version::shared_state>(*view.shared);
    data_centre_id const evacuated("b");
    version::set_evacuated(shared->evacuations, evacuated, true, wall_time());
    view.shared = shared;
    fixture.step_for(20, view);
    CHECK(fixture.platform.total() >= 90);
    for (auto const& [key, replicas] : fixture.platform.orders)
        CHECK(key.first != evacuated);
    version::set_evacuated(shared->evacuations, evacuated, false, wall_time());
    fixture.step_for(20, view);
    CHECK(fixture.platform.orders.contains({evacuated, true}));
}

namespace
{

/// 90 engines, of which 72 are reclaimable, whose callers keep `busy` of them at prefill.
control_view make_measured_view(double busy)
{
    auto view = make_view(90, 2'700'000);
    for (std::size_t i = 18; i < 90; ++i)
        view.endpoints[engine_service][i].reclaimable = true;
    view.entries.front().engine_work[engine_service] = {busy, 300, 0};
    return view;
}

constexpr auto measured = config::engine_capacity::measured;

} // namespace

TEST_CASE("engines are ordered by their work only if the settings ask for it")
{
    // Guards against a changed number of engines in deployments that do not ask for it.
    capacity_driver_fixture fixed;
    capacity_driver_fixture by_work(measured);
    fixed.step_for(60, make_measured_view(12));
    by_work.step_for(60, make_measured_view(12));
    capacity_driver_fixture without_work(measured);
    without_work.step_for(60, make_view(90, 2'700'000));
    capacity_driver_fixture fixed_without_work;
    fixed_without_work.step_for(60, make_view(90, 2'700'000));
    CHECK(by_work.platform.total() < 0.75 * fixed.platform.total());
    CHECK(fixed.platform.total() >= 90);
    CHECK(without_work.platform.orders == fixed_without_work.platform.orders);
    auto const has_gauge = [](capacity_driver_fixture& fixture, std::string const& line)
    { return fixture.metrics.expose().find(line) != std::string::npos; };
    CHECK_FALSE(has_gauge(fixed, "engine_prefill_work"));
    CHECK(has_gauge(by_work, "engine_prefill_work{service=\"llm\"} 12"));
    by_work.driver.reset();
    CHECK(has_gauge(by_work, "engine_prefill_work{service=\"llm\"} 0"));
}

TEST_CASE("a new duty holder releases nothing because of its first measurements")
{
    // Guards against a reduction after a leader change, when most rows have not arrived.
    capacity_driver_fixture fixture(measured);
    fixture.step_for(60, make_measured_view(12));
    auto const settled = fixture.platform.total();
    fixture.driver.reset();
    fixture.step_for(15, make_measured_view(2));
    CHECK(fixture.platform.total() >= settled);
    // Engines that the measurement asks for are ordered at once.
    capacity_driver_fixture busy(measured);
    busy.step_for(5, make_measured_view(60));
    CHECK(busy.platform.total() >= 60 / version::engine_need_options().prefill_utilisation);
}

TEST_CASE("engines of a reclaimed data centre are replaced up to the measured need")
{
    // Guards against a smaller need because fewer engines work while a data centre is reclaimed.
    capacity_driver_fixture fixture(measured);
    auto view = make_measured_view(18);
    fixture.step_for(60, view);
    auto const need = 18 / version::engine_need_options().prefill_utilisation;
    auto const before = fixture.platform.on_demand();
    std::erase_if(view.endpoints[engine_service], [](auto const& row)
                  { return row.reclaimable && row.data_centre != data_centre_id("a"); });
    auto const reclaimable_left = view.endpoints[engine_service].size() - 18;
    fixture.step_for(3, view);
    CHECK(fixture.platform.on_demand() > before);
    CHECK(fixture.platform.on_demand() + reclaimable_left >= need);
}
