#include <catch2/catch.hpp>

#include "proxy_fixture.hpp"

using namespace lagoonladder;

namespace
{

/// Lets calls of all routes be sent to this many endpoints.
void allow_attempts(proxy_fixture& system, std::uint32_t max_attempts)
{
    auto map = system.control.view()->services->map();
    for (auto& route : map.routes)
        route.max_attempts = max_attempts;
    system.control.change(
        [&](proxy::traffic_view& view)
        { view.services = std::make_shared<version::service_index const>(std::move(map)); });
}

} // namespace

TEST_CASE("a silent attempt continues while the retry budget is spent")
{
    // Guards against a 502 in place of a response that the endpoint is still working on, when the
    // attempt is cancelled before the retry budget is queried.
    proxy_fixture system({0, 1, {}});
    auto& first = system.add_endpoint("plain", "e1");
    auto& second = system.add_endpoint("plain", "e2");
    first.mode = second.mode = endpoint_mode::fail;
    CHECK(system.call("/plain/x", "id-1").status() == 500);
    first.mode = second.mode = endpoint_mode::delayed;
    auto const sent = first.requests.size() + second.requests.size();
    CHECK(system.call("/plain/x", "id-2").status() == 200);
    CHECK(first.requests.size() + second.requests.size() == sent + 1);
}

TEST_CASE("a silent attempt continues while there is no other endpoint")
{
    // Guards against a 502 in place of the response of the only endpoint.
    proxy_fixture system;
    auto& endpoint = system.add_endpoint("plain", "e1");
    endpoint.mode = endpoint_mode::delayed;
    CHECK(system.call("/plain/x", "id-1").status() == 200);
    CHECK(endpoint.requests.size() == 1);
}

TEST_CASE("a refusal without a seal is not relayed as a statement that the call was not executed")
{
    // Guards against a caller that repeats a booking because a 503 that the endpoint did not sign
    // states that nothing was executed.
    proxy_fixture system;
    auto& endpoint = system.add_endpoint("once", "e1");
    endpoint.mode = endpoint_mode::refusal_without_seal;
    CHECK(system.call("/once/x", "id-1").status() == 502);
    CHECK(endpoint.requests.size() == 1);
}

TEST_CASE("a status of an endpoint is not relayed as a statement that a call was not executed")
{
    // Guards against a caller that repeats a booking after a signed 408, 429 or 503 of an endpoint
    // that has executed it.
    for (unsigned const status : {408U, 429U, 503U})
    {
        for (std::string const route : {"once", "stream-once"})
        {
            INFO("status " << status << ", route " << route);
            proxy_fixture system;
            auto& first = system.add_endpoint(route, "e1");
            auto& second = system.add_endpoint(route, "e2");
            allow_attempts(system, 2);
            first.mode = second.mode = endpoint_mode::fail;
            first.failed_status = second.failed_status = status;
            auto const answer = system.call("/" + route + "/x", "id-1");
            CHECK(answer.status() == 502);
            CHECK(answer.body == "answer to id-1");
            CHECK(answer.heads[0].headers.find("Seal") == nullptr);
            CHECK(answer.heads[0].headers.find("Retry-After") == nullptr);
            CHECK(first.requests.size() + second.requests.size() == 1);
        }
    }
}

TEST_CASE("the statuses of endpoints that state nothing on the execution are relayed unchanged")
{
    // Guards against changed responses where the caller may repeat the call in any case, or does
    // not repeat it because of the status.
    proxy_fixture system;
    allow_attempts(system, 1);
    auto& endpoint = system.add_endpoint("plain", "e1");
    endpoint.mode = endpoint_mode::fail;
    for (unsigned const status : {408U, 429U, 503U})
    {
        INFO("status " << status);
        endpoint.failed_status = status;
        auto const answer = system.call("/plain/x", "id-" + std::to_string(status));
        CHECK(answer.status() == status);
        CHECK(answer.heads[0].headers.find("Seal") != nullptr);
        CHECK(answer.heads[0].headers.find("Retry-After") != nullptr);
    }
    auto& once = system.add_endpoint("once", "e2");
    once.mode = endpoint_mode::fail;
    for (unsigned const status : {400U, 409U, 500U, 504U})
    {
        INFO("status " << status);
        once.failed_status = status;
        auto const answer = system.call("/once/x", "id-" + std::to_string(status));
        CHECK(answer.status() == status);
        CHECK(answer.heads[0].headers.find("Seal") != nullptr);
    }
}

TEST_CASE("an endpoint whose status is replaced counts as failed")
{
    // Guards against failures that the comparison of versions and the usage do not count, since the
    // caller gets another status than the endpoint's.
    proxy_fixture system;
    auto& endpoint = system.add_endpoint("once", "e1");
    endpoint.mode = endpoint_mode::fail;
    endpoint.failed_status = 503;
    CHECK(system.call("/once/x", "id-1").status() == 502);
    std::uint64_t failures = 0;
    for (auto const& sample : system.control.samples)
        failures += sample.failures;
    CHECK(failures == 1);
    CHECK(system.control.usage[account_id("account")] == 1);
}

TEST_CASE("a load report without a stated time is taken into account")
{
    // Guards against endpoints that get most calls although they state that they are busy, when
    // only reports that state a time are recorded.
    proxy_fixture system;
    auto& busy = system.add_endpoint("plain", "e1");
    auto& idle = system.add_endpoint("plain", "e2");
    busy.running = 50;
    idle.running = 0;
    for (int i = 0; busy.requests.empty() || idle.requests.empty(); ++i)
        CHECK(system.call("/plain/x", "first-" + std::to_string(i)).status() == 200);
    auto const sent_before = busy.requests.size();
    for (int i = 0; i < 10; ++i)
        CHECK(system.call("/plain/x", "id-" + std::to_string(i)).status() == 200);
    CHECK(busy.requests.size() == sent_before);
}
