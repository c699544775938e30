#include <catch2/catch.hpp>

#include "proxy_fixture.hpp"

using namespace lagoonladder;

TEST_CASE("a silent attempt goes on while the retry budget is spent")
{
    // Guards against a 502 in place of an answer that the endpoint is still working on: the
    // attempt was cancelled before the retry budget was asked.
    proxy_fixture system({0, 1, {}});
    auto& first = system.add_endpoint("plain", "e1");
    auto& second = system.add_endpoint("plain", "e2");
    first.mode = second.mode = endpoint_mode::fail;
    CHECK(system.call("/plain/x", "id-1").status() == 500);
    first.mode = second.mode = endpoint_mode::late;
    auto const sent = first.requests.size() + second.requests.size();
    CHECK(system.call("/plain/x", "id-2").status() == 200);
    CHECK(first.requests.size() + second.requests.size() == sent + 1);
}

TEST_CASE("a silent attempt goes on while there is no other endpoint")
{
    // Guards against a 502 in place of the answer of the only endpoint.
    proxy_fixture system;
    auto& endpoint = system.add_endpoint("plain", "e1");
    endpoint.mode = endpoint_mode::late;
    CHECK(system.call("/plain/x", "id-1").status() == 200);
    CHECK(endpoint.requests.size() == 1);
}

TEST_CASE("a refusal that nobody signed is not handed on as not run")
{
    // Guards against a caller who lodges a booking again, since a 503 that is not the
    // endpoint's own told it that nothing was run.
    proxy_fixture system;
    auto& endpoint = system.add_endpoint("once", "e1");
    endpoint.mode = endpoint_mode::unsigned_refusal;
    CHECK(system.call("/once/x", "id-1").status() == 502);
    CHECK(endpoint.requests.size() == 1);
}
