#include <catch2/catch.hpp>

#include "proxy_fixture.hpp"

using namespace lagoonladder;

TEST_CASE("calls that are open at the end of a planned stop get a response")
{
    // Guards against connections that close without a response when the process ends.
    proxy_fixture system;
    auto& endpoint = system.add_endpoint("once", "e1");
    endpoint.mode = endpoint_mode::silent;
    auto const running = system.start_call("/once/x", "id-1");
    system.run_until([&] { return !endpoint.requests.empty(); });
    system.proxy.end_calls();
    system.run_until([&] { return running.observer->is_over(); });
    // The call may have been executed, so the response must not state that it was not.
    CHECK(running.observer->status() == 504);
    CHECK(system.proxy.open_calls() == 0);
}

TEST_CASE("calls still waiting at the end of a planned stop are refused as not executed")
{
    // Guards against waiting calls that get no response, or one after which the caller may not
    // retry.
    proxy_fixture system;
    auto& endpoint = system.add_endpoint("plain", "e1");
    auto const services = system.control.view()->services;
    system.control.change([](proxy::traffic_view& view) { view.services.reset(); });
    auto const waiting = system.start_call("/plain/x", "id-1");
    system.run_until([&] { return system.proxy.open_calls() == 1; });
    system.proxy.end_calls();
    system.run_until([&] { return waiting.observer->is_over(); });
    CHECK(waiting.observer->status() == 503);
    CHECK(waiting.observer->heads[0].headers.find("Retry-After") != nullptr);
    // A call that arrives even later is not sent to an endpoint, whose work would be lost.
    system.control.change([&](proxy::traffic_view& view) { view.services = services; });
    auto const late = system.call("/plain/x", "id-2");
    CHECK(late.status() == 503);
    CHECK(late.heads[0].headers.find("Retry-After") != nullptr);
    CHECK(endpoint.requests.empty());
}

TEST_CASE("a call that a draining server refuses gets a Retry-After")
{
    // Guards against callers that wait for their own, longer pause before they try another entry.
    proxy_fixture system;
    auto& endpoint = system.add_endpoint("plain", "e1");
    auto const before = system.call("/plain/x", "id-1");
    CHECK(before.status() == 200);
    auto const late = system.start_call("/plain/x", "id-2");
    // The request is already in the receive buffer of the socket when the drain begins.
    system.server.drain();
    system.run_until([&] { return late.observer->is_over(); });
    CHECK(late.observer->status() == 503);
    CHECK(late.observer->heads[0].headers.find("Retry-After") != nullptr);
    CHECK(endpoint.requests.size() == 1);
}
