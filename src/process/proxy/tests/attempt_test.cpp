#include <catch2/catch.hpp>

#include "proxy_fixture.hpp"

using namespace lagoonladder;

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
