#include <catch2/catch.hpp>

#include "proxy_fixture.hpp"

using namespace lagoonladder;

TEST_CASE("a response that ends within its head is not relayed")
{
    // Guards against a 200 with an empty or short body, framed as complete, that a caller gets from
    // an endpoint which stopped in the middle of its head.
    proxy_fixture system;
    auto& endpoint = system.add_endpoint("once", "e1");
    endpoint.mode = endpoint_mode::cut_head;
    for (std::size_t bytes : {1U, 9U, 14U, 17U, 25U, 40U, 52U})
    {
        endpoint.head_bytes = bytes;
        CHECK(system.call("/once/x", "id-" + std::to_string(bytes)).status() == 502);
    }
    auto& engine = system.add_endpoint("stream-once", "e2");
    engine.mode = endpoint_mode::cut_head;
    for (std::size_t bytes : {1U, 9U, 14U, 17U, 25U, 40U, 52U})
    {
        engine.head_bytes = bytes;
        CHECK(system.call("/stream-once/x", "id-" + std::to_string(bytes)).status() == 502);
    }
}

TEST_CASE("a response that ends with its connection is complete")
{
    // Guards against a failure in place of an answer that has neither a length nor chunks.
    proxy_fixture system;
    system.add_endpoint("once", "e1").mode = endpoint_mode::until_close;
    auto const answer = system.call("/once/x", "id-1");
    CHECK(answer.status() == 200);
    CHECK(answer.ended);
    CHECK(answer.body == "answer to id-1");
    system.add_endpoint("stream-once", "e2").mode = endpoint_mode::until_close;
    auto const stream = system.call("/stream-once/x", "id-2");
    CHECK(stream.ended);
    CHECK(stream.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
}

TEST_CASE("a stream that ends with its connection within an event is broken off")
{
    // Guards against a stream that ends as complete before its last event.
    proxy_fixture system;
    system.add_endpoint("stream-once", "e1").mode = endpoint_mode::until_close_within_event;
    auto const stream = system.call("/stream-once/x", "id-1");
    CHECK(stream.status() == 200);
    CHECK_FALSE(stream.ended);
    CHECK(stream.failure);
}

TEST_CASE("a stream that ends with its connection before its first event is a failure")
{
    // Guards against an empty stream, framed as complete, in place of the answer of an engine that
    // crashed when it began it.
    proxy_fixture system;
    system.add_endpoint("stream-once", "e1").mode = endpoint_mode::until_close_without_body;
    CHECK(system.call("/stream-once/x", "id-1").status() == 502);
}
