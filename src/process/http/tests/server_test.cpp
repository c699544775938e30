#include "loop_fixture.hpp"

using namespace lagoonladder;

TEST_CASE("a request and its response pass through client and server")
{
    // Guards against a client that opens a connection for each call.
    loop_fixture loop;
    loop.handler.on_request = [](http::server_exchange& exchange) {
        exchange.respond({200, {}, {}}, "echo:" + exchange.body());
    };
    auto const first = std::make_shared<recording_observer>();
    loop.client.send(loop.address, loop.request("x"), first);
    loop.run_until([&] { return first->is_over(); });
    CHECK(first->has_ended);
    CHECK(first->body == "echo:x");

    // The second call reuses the connection.
    auto const second = std::make_shared<recording_observer>();
    loop.client.send(loop.address, loop.request("y"), second);
    loop.run_until([&] { return second->is_over(); });
    CHECK(second->body == "echo:y");
    CHECK(loop.client.opened() == 1);
}

TEST_CASE("parts of a stream arrive as they are written")
{
    // Guards against parts that are held back until the end of the response.
    loop_fixture loop;
    auto const observer = std::make_shared<recording_observer>();
    loop.client.send(loop.address, loop.request(), observer);
    loop.run_until([&] { return !loop.handler.exchanges.empty(); });
    auto const exchange = loop.handler.exchanges.front();
    exchange->begin({200, {}, {}}, std::nullopt);
    exchange->write("one");
    loop.run_until([&] { return observer->body == "one"; });
    CHECK_FALSE(observer->is_over());
    exchange->write("two");
    exchange->finish();
    loop.run_until([&] { return observer->is_over(); });
    CHECK(observer->has_ended);
    CHECK(observer->body == "onetwo");
}

TEST_CASE("a response that ends early is detected as incomplete")
{
    // Guards against a truncated response that looks complete to the caller.
    loop_fixture loop;
    auto const observer = std::make_shared<recording_observer>();
    loop.client.send(loop.address, loop.request(), observer);
    loop.run_until([&] { return !loop.handler.exchanges.empty(); });
    loop.handler.exchanges.front()->begin({200, {}, {}}, std::nullopt);
    loop.handler.exchanges.front()->write("part");
    loop.handler.exchanges.front()->abort();
    loop.run_until([&] { return observer->is_over(); });
    CHECK(observer->failure == http::call_failure::broken_response);
}

TEST_CASE("a handler is notified when its caller disconnects")
{
    // Guards against endpoints that continue to process requests of disconnected callers.
    loop_fixture loop;
    bool is_closed = false;
    loop.handler.on_request = [&](http::server_exchange& exchange)
    { exchange.on_closed([&] { is_closed = true; }); };
    auto const call =
        loop.client.send(loop.address, loop.request(), std::make_shared<recording_observer>());
    loop.run_until([&] { return !loop.handler.exchanges.empty(); });
    call->cancel();
    loop.run_until([&] { return is_closed; });
}

TEST_CASE("ambiguous and oversized requests are rejected")
{
    // Guards against request smuggling and unbounded use of memory.
    loop_fixture loop;
    loop.limits.max_header_bytes = 256;
    loop.limits.max_body_bytes = 8;
    loop.limits.header_timeout = milliseconds(100);
    auto const status = [&](std::string const& bytes)
    {
        auto const answer = loop.exchange_raw(bytes);
        return answer.size() < 12 ? std::string() : answer.substr(9, 3);
    };
    CHECK(status("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n") == "400");
    CHECK(status(
              "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd") ==
          "400");
    CHECK(status("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n") == "400");
    CHECK(status("POST / HTTP/1.1\r\nHost : h\r\n\r\n") == "400");
    CHECK(status("nonsense\r\n\r\n") == "400");
    CHECK(status("GET /" + std::string(300, 'x') + " HTTP/1.1\r\nHost: h\r\n\r\n") == "431");
    CHECK(status("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n123456789") == "413");
    CHECK(status("GET / HTTP/1.1\r\nHost:") == "408");
    CHECK(loop.handler.exchanges.empty());
}

TEST_CASE("trailer fields of a chunked request do not become part of its head")
{
    // Guards against a caller who adds or replaces header fields after the head was checked.
    loop_fixture loop;
    std::optional<http::request_head> head;
    loop.handler.on_request = [&](http::server_exchange& exchange)
    {
        head = exchange.head();
        exchange.respond({200, {}, {}}, exchange.body());
    };
    auto const received = loop.exchange_raw("POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                                            "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"
                                            "Tenant: other\r\nExpect: 100-continue\r\n\r\n");
    CHECK(received.starts_with("HTTP/1.1 200 "));
    CHECK(received.ends_with("abc"));
    REQUIRE(head);
    CHECK(head->headers.find("Tenant") == nullptr);
    CHECK(head->headers.find("Expect") == nullptr);
}

TEST_CASE("connections beyond the limit are refused with a status")
{
    // Guards against callers that get only a closed connection, without a status, when an entry has
    // reached its connection limit.
    loop_fixture loop;
    auto const address = free_address();
    http::server refusing_server(
        loop.context, {address, 0, "small", 1}, loop.handler, [&loop] { return loop.limits; },
        loop.events, loop.time);
    refusing_server.start();
    loop.address = address;
    auto const answer = loop.exchange_raw("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(loop.handler.exchanges.empty());
    http::server closing_server(
        loop.context, {free_address(), 0, "closed"}, loop.handler, [&loop] { return loop.limits; },
        loop.events, loop.time);
    closing_server.start();
    loop.address = closing_server.address();
    CHECK(loop.exchange_raw("GET /a HTTP/1.1\r\nHost: h\r\n\r\n").empty());
}
