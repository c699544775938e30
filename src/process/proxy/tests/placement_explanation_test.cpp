#include <catch2/catch.hpp>

#include "placement_explanation.hpp"
#include "proxy_fixture.hpp"

using namespace lagoonladder;
using namespace lagoonladder::proxy;
using Catch::Matchers::Contains;

namespace
{

/// The shared state of calls on a clock that the test sets, with endpoints of two versions.
class explained_system
{
public:
    explained_system()
        : client(this->loop, {}, this->time)
        , context({this->loop, this->client, this->codec, this->control, this->events,
                   this->metrics, this->time, 7, time_point{}},
                  make_options())
    {
        this->time.advance(seconds(1000));
        this->control.change(
            [](traffic_view& view)
            {
                auto map = view.services->map();
                map.accounts[0].quota = version::token_quota{100, 300, 50};
                map.routes[0].split = {{service_name("plain"), 3}, {service_name("stream"), 1}};
                map.services[2].is_engine = true;
                view.services = std::make_shared<version::service_index const>(std::move(map));
                view.vm = vm_id("vm-1");
                view.serving = {{vm_id("vm-1"), {}}, {vm_id("vm-2"), {}}};
                view.splits[service_name("plain")] = {version_name("v1"), version_name("v2"), 0.25};
                for (auto const* name : {"plain", "stream"})
                {
                    for (int i = 0; i < 6; ++i)
                        add_endpoint(view, name, i);
                }
            });
        // The quota accrues at an entry that has been asked before.
        this->send(0);
        this->time.advance(seconds(10));
    }

    nlohmann::json explain(placement_query const& query) const
    {
        return placement_explanation(this->context, *this->control.view()).explain(query);
    }

    /// Decides on a call as call_proxy does. Returns what was decided.
    std::string send(int number)
    {
        incoming_call call;
        call.id = request_id(std::to_string(number));
        call.host = "h";
        call.target = "/plain/x";
        call.account_key = "key-1";
        call.prompt = {{static_cast<std::uint64_t>(number % 3), 500}, {1000, 10}};
        call.tokens = token_counts{40, 10};
        auto const now = this->time.now();
        auto const view = this->control.view();
        auto admission = admit(now, now, *view, call, this->context.crashes, this->context.quotas,
                               this->context.options.quota);
        this->context.overload.check(now, *view, call, this->context.chooser, this->context.random,
                                     admission);
        if (admission.reason != refusal::none)
            return to_string(admission.reason) + format_duration(admission.retry_after);
        auto const chosen = this->context.chooser.choose(
            now, *view, *admission.route, admission.service, call, {}, this->context.random);
        if (!chosen)
            return "no endpoint";
        this->context.chooser.record_start(now, chosen->id);
        this->context.chooser.record_sent_prompt(now, chosen->id, chosen->incarnation, call.prompt);
        return chosen->id.value();
    }

    asio::io_context loop;
    manual_clock time;
    null_event_sink events;
    observability::metrics metrics;
    test_codec codec;
    test_control control;
    http::client client;
    proxy_context context;

private:
    static proxy_options make_options()
    {
        proxy_options options{1.0, 100, {seconds(10), 0.05, 50}};
        options.pace.is_learned = true;
        options.has_overload_admission = true;
        return options;
    }

    static void add_endpoint(traffic_view& view, std::string const& name, int number)
    {
        connection::endpoint_record record;
        record.id = endpoint_id(name + std::to_string(number));
        record.service = service_name(name);
        record.version = version_name(number < 4 ? "v1" : "v2");
        record.address = network_address(record.id.value());
        record.data_centre = data_centre_id("d");
        record.load.slots = 8;
        view.endpoints[record.service].push_back(record);
    }
};

placement_query make_query()
{
    placement_query query;
    query.host = "h";
    query.path = "/plain/x";
    query.account = account_id("account");
    query.tokens = token_counts{40, 10};
    query.prompt = {{1, 500}, {1000, 10}};
    return query;
}

} // namespace

TEST_CASE("an explanation states route, account, quota, versions and all endpoints")
{
    // Guards against an answer without one of the reasons that decide on a call.
    explained_system system;
    auto const answer = system.explain(make_query());
    INFO(answer.dump(2));
    CHECK(answer.at("route").at("name") == "plain");
    CHECK(answer.at("account") == "account");
    CHECK(answer.at("priority") == 0);
    CHECK(answer.at("quota").at("tokens_of_call") == 50);
    CHECK(answer.at("quota").at("left_here").get<double>() > 50);
    CHECK(answer.at("quota").at("held_by").size() == 2);
    REQUIRE(answer.at("services").size() == 2);
    auto const& plain = answer["services"][0];
    CHECK(plain.at("share") == 0.75);
    REQUIRE(plain.at("versions").size() == 2);
    CHECK(plain["versions"][0].at("outcome") == "served");
    REQUIRE(plain.at("endpoints").size() == 6);
    std::map<std::string, double> chances;
    for (auto const& row : plain["endpoints"])
        chances[row.at("version")] += row.at("chance").get<double>();
    CHECK(chances["v1"] == Approx(0.75));
    CHECK(chances["v2"] == Approx(0.25));
}

TEST_CASE("an explanation of a call that is not served states the status")
{
    // Guards against an explanation that promises an endpoint to a refused call.
    explained_system system;
    auto query = make_query();
    query.account.reset();
    CHECK(system.explain(query).at("admission").at("status") == 401);
    query = make_query();
    for (int i = 1; i < 100 && !system.send(i).starts_with("over_quota"); ++i)
    {
    }
    auto const over_quota = system.explain(query);
    CHECK(over_quota.at("quota").at("missing").get<double>() > 0);
    CHECK(over_quota["services"][0]["versions"][0].at("status") == 429);
    query = make_query();
    query.time_left = duration(0);
    CHECK(system.explain(query).at("admission").at("reason") == "too_late");
    system.time.advance(seconds(10));
    system.control.change([](traffic_view& view) { view.evacuated = {data_centre_id("d")}; });
    auto const evacuated = system.explain(make_query());
    CHECK(evacuated["services"][0]["versions"][0].at("status") == 503);
    CHECK_THAT(evacuated["services"][0]["versions"][0].at("detail").get<std::string>(),
               Contains("evacuated data centres"));
    CHECK(evacuated["services"][0]["endpoints"][0].at("excluded_by") == "evacuated");
    system.control.change([](traffic_view& view) { view.is_ready = false; });
    CHECK(system.explain(make_query()).at("admission").at("outcome") == "waits");
}

TEST_CASE("engines without room for a call are explained with their load")
{
    // Guards against an explanation that leaves out the admission under overload.
    explained_system system;
    system.control.change(
        [](traffic_view& view)
        {
            for (auto& engine : view.endpoints[service_name("stream")])
                engine.load = {8, 400, 8, 0};
        });
    auto query = make_query();
    query.path = "/stream/x";
    auto const answer = system.explain(query);
    auto const& version = answer.at("services").at(0).at("versions").at(0);
    INFO(version.dump(2));
    CHECK(version.at("reason") == "no_capacity");
    CHECK(version.at("status") == 503);
    CHECK(version.at("capacity").at("refused_share") == 1);
    CHECK(version.at("capacity").contains("wait_limit_ms"));
}

TEST_CASE("an unknown route or account cannot be explained")
{
    // Guards against an explanation of a call other than the one that the operator means.
    explained_system system;
    auto query = make_query();
    query.host = "other";
    CHECK_THROWS_WITH(system.explain(query), Contains("no route has the host"));
    query.host = "h";
    query.path = "/none";
    CHECK_THROWS_WITH(system.explain(query), Contains("its prefixes are") && Contains("/plain/"));
    query = make_query();
    query.account = account_id("nobody");
    CHECK_THROWS_WITH(system.explain(query), Contains("unknown account"));
}

TEST_CASE("explanations change no decision and no metric")
{
    // Guards against an explanation that takes quota tokens, counts as a call, or draws random
    // numbers.
    explained_system plain;
    explained_system explained;
    std::set<std::string> outcomes;
    for (int i = 1; i <= 600; ++i)
    {
        auto const metrics = explained.metrics.expose();
        explained.explain(make_query());
        CHECK(explained.metrics.expose() == metrics);
        auto const expected = plain.send(i);
        REQUIRE(explained.send(i) == expected);
        outcomes.insert(expected);
        plain.time.advance(milliseconds(100 + i % 7 * 100));
        explained.time.advance(milliseconds(100 + i % 7 * 100));
    }
    CHECK(explained.context.random.next() == plain.context.random.next());
    CHECK(explained.control.broadcast_prompts.empty());
    CHECK(outcomes.size() > 5);
}
