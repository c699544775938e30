#include <catch2/catch.hpp>

#include "gossip_fixture.hpp"
#include "gossip_rows.hpp"

using namespace lagoonladder;
using namespace lagoonladder::control;

namespace
{

protocol::Digest leaving_request(std::string const& from)
{
    protocol::Digest digest;
    digest.set_from(from);
    digest.set_leaving_only(true);
    return digest;
}

} // namespace

TEST_CASE("the leaving mark of an endpoint is sent without the rows of a large system")
{
    // Guards against entries that spend their processor time on complete directories whenever one
    // of many endpoints leaves, so that leaving marks arrive too late.
    directories large("self");
    large.receive_rows(90, 140);
    auto leaving = make_endpoint(3);
    leaving.sequence = 2;
    leaving.state = connection::endpoint_state::leaving;
    large.driver.announce(leaving, [](bool) {});

    auto const reply = large.driver.exchange(leaving_request("other"));
    CHECK(reply.leaving_only());
    CHECK(reply.ByteSizeLong() < 1'000);

    directories other("other");
    other.receive_rows(0, 140);
    other.driver.exchange(reply);
    auto const row = other.driver.endpoints().find(other.time.now(), endpoint_id("endpoint-3"));
    REQUIRE(row);
    CHECK(row->state == connection::endpoint_state::leaving);
}

TEST_CASE("a leaving mark is not sent again to a daemon that has it")
{
    // Guards against leaving marks that are repeated to the same daemon in each reply.
    directories large("self");
    large.receive_rows(0, 2);
    auto leaving = make_endpoint(1);
    leaving.sequence = 2;
    leaving.state = connection::endpoint_state::leaving;
    large.driver.announce(leaving, [](bool) {});
    auto const first = large.driver.exchange(leaving_request("other"));
    auto const second = large.driver.exchange(leaving_request("other"));
    CHECK(second.endpoints().size() < first.endpoints().size());
}

TEST_CASE("an exchange carries only the rows that the other daemon lacks")
{
    // Guards against digests of complete directories: with 86 entries and 246 endpoints they
    // saturated 10 Mbit/s links, and callers received no responses.
    directories large("self");
    large.receive_rows(90, 140);
    protocol::Digest empty_request;
    empty_request.set_from("other");
    auto const all_rows = large.driver.exchange(empty_request);
    CHECK(nlohmann::json::from_msgpack(all_rows.endpoints()).size() == 140);

    directories other("other");
    other.driver.exchange(all_rows);
    auto renewed = make_endpoint(7);
    renewed.sequence = 2;
    large.driver.announce(renewed, [](bool) {});
    auto const newer_rows = large.driver.exchange(other.driver.request_digest());
    auto const rows = nlohmann::json::from_msgpack(newer_rows.endpoints());
    REQUIRE(rows.size() == 1);
    CHECK(rows[0]["id"] == "endpoint-7");
    CHECK(newer_rows.ByteSizeLong() < 2'000);
}

TEST_CASE("a gossip request carries the endpoints announced since the last round")
{
    // Guards against announcements that reach other daemons only when these ask for them.
    directories first("first");
    directories second("second");
    first.driver.announce(make_endpoint(1), [](bool) {});
    second.driver.exchange(first.driver.request_digest());
    CHECK(second.driver.endpoints().find(second.time.now(), endpoint_id("endpoint-1")));
    CHECK(second.driver.entries().find(second.time.now(), vm_id("first")));
}

TEST_CASE("frequent leaving marks do not delay gossip rounds")
{
    // Guards against entries that consider each other dead while many endpoints leave, because each
    // leaving mark restarted the heartbeat timer.
    directories self("self");
    self.receive_rows(0, 40);
    self.driver.start();
    for (std::size_t i = 0; i < 40; ++i)
    {
        auto leaving = make_endpoint(i);
        leaving.sequence = 2;
        leaving.state = connection::endpoint_state::leaving;
        self.driver.announce(leaving, [](bool) {});
        self.context->run_for(milliseconds(20));
    }
    self.driver.stop();
    // Leaving marks are announced for 0.8 s, with a gossip round every 100 ms.
    CHECK(self.driver.entries().own().heartbeat.value() >= 5);
}

TEST_CASE("a leaving mark carries the age of the row")
{
    // Guards against entries that start late and give an endpoint or an entry that is gone a whole
    // lease, because they hear of it by a leaving mark.
    directories self("self");
    auto entry = make_entry(1);
    entry.heartbeat_age = seconds(2);
    auto endpoint = make_endpoint(1);
    endpoint.vm = entry.vm;
    endpoint.renewal_age = seconds(4);
    protocol::Digest digest;
    digest.set_from("sender");
    digest.set_entries(pack_rows(std::vector{entry}));
    digest.set_endpoints(pack_rows(std::vector{endpoint}));
    self.driver.exchange(digest);
    self.driver.set_leaving(entry.vm);

    auto const reply = self.driver.exchange(leaving_request("other"));
    auto const entries = nlohmann::json::from_msgpack(reply.entries());
    REQUIRE(entries.size() == 1);
    CHECK(entries[0]["age_ms"] >= 2000);
    auto const endpoints = nlohmann::json::from_msgpack(reply.endpoints());
    REQUIRE(endpoints.size() == 1);
    CHECK(endpoints[0].value("age_ms", 0) >= 4000);
}
