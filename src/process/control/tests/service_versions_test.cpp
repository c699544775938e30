#include <algorithm>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <lagoonladder/control/service_versions.hpp>

#include "pass_through_view.hpp"

using namespace lagoonladder;
using namespace lagoonladder::control;

namespace
{

service_name const service("s");
wall_time const order_time{seconds(1'000)};

connection::endpoint_record make_endpoint(char const* version, wall_time started)
{
    connection::endpoint_record endpoint;
    endpoint.version = version_name(version);
    endpoint.service = service;
    endpoint.incarnation =
        incarnation(static_cast<std::uint64_t>(started.time_since_epoch() / milliseconds(1)));
    return endpoint;
}

version::move_record make_move(char const* from, char const* to, version::move_state state,
                               bool is_shown_worse = false)
{
    version::move_record move;
    move.service = service;
    move.from = version_name(from);
    move.to = version_name(to);
    move.started = order_time;
    move.state = state;
    move.is_shown_worse = is_shown_worse;
    return move;
}

/// A view with a shared state that a test can change.
struct changeable_view
{
    changeable_view() { view.shared = state; }

    version_name in_service() const { return find_version_in_service(view, service, order_time); }

    std::shared_ptr<version::shared_state> state = std::make_shared<version::shared_state>();
    control_view view;
};

} // namespace

TEST_CASE("the version in service is that of the endpoints from before the order")
{
    // Guards against a new version that counts as the one in service, and so gets all traffic
    // without a comparison, because its endpoints start before the order arrives.
    changeable_view system;
    auto& endpoints = system.view.endpoints[service];
    CHECK(system.in_service() == version_name());
    endpoints = {make_endpoint("v2", order_time + seconds(1))};
    CHECK(system.in_service() == version_name());
    endpoints.push_back(make_endpoint("v1", order_time - seconds(9)));
    CHECK(system.in_service() == version_name("v1"));
    endpoints.push_back(make_endpoint("v3", order_time - seconds(9)));
    CHECK(system.in_service() == version_name());
    endpoints.back().state = connection::endpoint_state::leaving;
    CHECK(system.in_service() == version_name("v1"));
    // An endpoint that states no start time.
    endpoints = {make_endpoint("v2", wall_time())};
    CHECK(system.in_service() == version_name());
}

TEST_CASE("neither a candidate nor a reversed version is the version in service")
{
    // Guards against a bad version that is ordered again and gets all traffic at once.
    changeable_view system;
    system.view.endpoints[service] = {make_endpoint("v1", order_time - seconds(9)),
                                      make_endpoint("v2", order_time - seconds(9))};
    system.state->splits[service].candidate = version_name("v2");
    CHECK(system.in_service() == version_name("v1"));
    system.state->splits[service].candidate = {};
    system.state->moves = {make_move("", "v2", version::move_state::reversed)};
    CHECK(system.in_service() == version_name("v1"));
}

TEST_CASE("endpoints of a renewal are counted by their start")
{
    // Guards against endpoints of other versions, or leaving ones, that end a renewal too early.
    changeable_view system;
    auto leaving = make_endpoint("v1", order_time + seconds(1));
    leaving.state = connection::endpoint_state::leaving;
    system.view.endpoints[service] = {make_endpoint("v1", order_time - seconds(9)),
                                      make_endpoint("v1", order_time + seconds(1)),
                                      make_endpoint("v1", order_time + seconds(2)),
                                      make_endpoint("v2", order_time + seconds(1)), leaving};
    auto const counts =
        count_renewal_endpoints(system.view, make_move("v1", "v1", version::move_state::running));
    CHECK(counts.earlier == 1);
    CHECK(counts.later == 2);
}

TEST_CASE("the version in service is never marked as reversed")
{
    // Guards against a service whose only endpoints are out of use for good.
    changeable_view system;
    system.state->moves = {make_move("", "v2", version::move_state::reversed),
                           make_move("v1", "v1", version::move_state::reversed)};
    auto reversed = find_reversed_versions(*system.state).at(service);
    CHECK(reversed.all == std::set{version_name("v2")});
    CHECK(reversed.undecided == std::set{version_name("v2")});
    system.state->moves.push_back(make_move("v1", "v3", version::move_state::reversed, true));
    reversed = find_reversed_versions(*system.state).at(service);
    CHECK(reversed.all == std::set{version_name("v2"), version_name("v3")});
    CHECK(reversed.undecided == std::set{version_name("v2")});
    system.state->splits[service].stable = version_name("v2");
    CHECK(find_reversed_versions(*system.state).at(service).all == std::set{version_name("v3")});
}

namespace
{

std::set<version_name> versions_of(std::map<service_name, std::set<version_name>> const& versions)
{
    auto const found = versions.find(service);
    return found == versions.end() ? std::set<version_name>() : found->second;
}

/// A service whose endpoints come and go while orders and ends of moves are drawn at random.
class random_service
{
public:
    random_service()
    {
        version::service_configuration configuration;
        configuration.map.number = 1;
        configuration.map.services.emplace_back().name = service;
        this->apply(version::make_apply_command(configuration));
    }

    void step()
    {
        this->now += seconds(*rc::gen::inRange(1, 10));
        this->draw_endpoints();
        this->check_use();
        if (*rc::gen::inRange(0, 2) == 0)
            this->give_order();
        else if (!this->system.state->moves.empty())
            this->end_move();
    }

private:
    void apply(version::command_body body)
    {
        this->replica.apply(++this->index, {this->now, std::move(body)});
        *this->system.state = *this->replica.shared();
    }

    void draw_endpoints()
    {
        auto& endpoints = this->system.view.endpoints[service];
        endpoints.clear();
        for (auto const* version : {"v1", "v2", "v3"})
        {
            if (*rc::gen::inRange(0, 2) == 0)
                endpoints.push_back(make_endpoint(version, order_time - seconds(9)));
        }
    }

    /// Checks that an endpoint of a version that was not shown to be worse can be used.
    void check_use()
    {
        auto const traffic = make_traffic_view(this->system.view, {});
        auto const reversed = versions_of(traffic->reversed);
        auto const undecided = versions_of(traffic->undecided);
        bool has_sound = false;
        bool has_usable = false;
        for (auto const& endpoint : this->system.view.endpoints[service])
        {
            has_sound = has_sound || !this->is_shown_worse(endpoint.version);
            has_usable = has_usable || !reversed.contains(endpoint.version) ||
                         undecided.contains(endpoint.version);
        }
        if (has_sound)
            RC_ASSERT(has_usable);
        RC_ASSERT(!reversed.contains(this->system.state->splits[service].stable));
    }

    bool is_shown_worse(version_name const& version) const
    {
        auto const& moves = this->system.state->moves;
        auto const last = std::find_if(moves.rbegin(), moves.rend(),
                                       [&](auto const& move) { return move.to == version; });
        return last != moves.rend() && last->is_shown_worse;
    }

    void give_order()
    {
        auto const target = *rc::gen::element("v1", "v2", "v3");
        version::start_service_move order{service, version_name(target), seconds(12)};
        order.base = version::latest_order(this->system.state->moves, service);
        order.resend_time = seconds(4);
        order.in_service = this->system.in_service();
        this->apply(order);
    }

    void end_move()
    {
        auto const& latest = this->system.state->moves.back();
        version::update_move change;
        change.service = service;
        change.generation = latest.generation;
        change.state =
            *rc::gen::element(version::move_state::finished, version::move_state::reversed);
        change.is_shown_worse = change.state == version::move_state::reversed &&
                                !version::is_renewal(latest) && *rc::gen::inRange(0, 2) == 0;
        this->apply(change);
    }

    version::control_state replica;
    std::uint64_t index = 0;
    wall_time now = order_time;
    changeable_view system;
};

} // namespace

TEST_CASE("a service keeps a version to use through any orders and ends of moves")
{
    // Guards against orders and reversals after which sound endpoints run and none is used.
    rc::prop("an endpoint of a version that was not shown to be worse can be used",
             []
             {
                 random_service service_under_orders;
                 for (int step = 0; step < 12; ++step)
                     service_under_orders.step();
             });
}
