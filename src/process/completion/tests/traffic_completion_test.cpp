#include <catch2/catch.hpp>

#include "traffic_harness.hpp"

using namespace lagoonladder;
using namespace lagoonladder::completion;

namespace
{

std::vector<std::uint64_t> consecutive_ids(std::uint64_t count)
{
    std::vector<std::uint64_t> ids;
    for (std::uint64_t i = 0; i < count; ++i)
        ids.push_back(i);
    return ids;
}

void check_complete(received_stream const& stream, std::uint64_t count = 20)
{
    CHECK(stream.status == 200);
    CHECK(stream.text == expected_text(0, count));
    CHECK(stream.ids == consecutive_ids(count));
    CHECK(stream.is_done);
}

struct two_entry_cluster
{
    memory_cluster cluster;
    recorded_events events;
    test_entry first{cluster, events, "entry-1", "dc-1"};
    test_entry second{cluster, events, "entry-2", "dc-2"};
};

} // namespace

// Guards against lost, repeated or unnumbered tokens when no failure occurs.
TEST_CASE("a streamed completion carries each token once with its offset")
{
    two_entry_cluster entries;
    test_engine engine(entries.cluster, "engine-1");
    auto const stream = read_completion(entries.first, chat_body());
    check_complete(stream);
    CHECK(!stream.request_id.empty());
    CHECK(entries.events.count("request.no_companion") == 0);
    auto const samples = entries.first.control.samples();
    REQUIRE(samples.size() == 1);
    CHECK(samples[0].route == route_name("chat"));
    CHECK(samples[0].version == version_name("v1"));
    CHECK(samples[0].failures == 0);
}

// Guards against a non-streamed answer that is assembled incorrectly.
TEST_CASE("a non-streamed completion is assembled from the engine's stream")
{
    two_entry_cluster entries;
    test_engine engine(entries.cluster, "engine-1");
    auto body = chat_body();
    body["stream"] = false;
    auto client = entries.first.client();
    auto const answer =
        client.Post("/v1/chat/completions", key_header(), body.dump(), "application/json");
    REQUIRE(answer);
    auto const json = nlohmann::json::parse(answer->body);
    CHECK(json["choices"][0]["message"]["content"] == expected_text(0, 20));
    CHECK(json["choices"][0]["finish_reason"] == "length");
    CHECK(json["usage"]["completion_tokens"] == 20);
}

// Guards against a stream that ends, repeats or skips tokens when its engine fails.
TEST_CASE("a stream is resumed at the next offset after its engine broke the connection")
{
    two_entry_cluster entries;
    test_engine engine(entries.cluster, "engine-1");
    test_engine other(entries.cluster, "engine-2");
    engine.break_at = other.break_at = 7;
    std::thread repair(
        [&]
        {
            eventually([&] { return engine.attempts + other.attempts >= 2; });
            engine.break_at = other.break_at = UINT64_MAX;
        });
    check_complete(read_completion(entries.first, chat_body()));
    repair.join();
    CHECK(entries.events.count("request.resumed") >= 1);
    CHECK(entries.events.field("request.resumed", "offset") == "7");
    CHECK(entries.first.metrics.expose().find("lagoonladder_recomputed_tokens_total") !=
          std::string::npos);
}

// Guards against a stream that hangs because the connection to its engine stays open without
// any further bytes.
TEST_CASE("a stream is resumed after its engine went silent")
{
    two_entry_cluster entries;
    test_engine engine(entries.cluster, "engine-1");
    test_engine other(entries.cluster, "engine-2");
    engine.silent_at = other.silent_at = 5;
    std::thread repair(
        [&]
        {
            eventually([&] { return engine.attempts + other.attempts >= 2; });
            engine.silent_at = other.silent_at = UINT64_MAX;
        });
    auto const started = std::chrono::steady_clock::now();
    check_complete(read_completion(entries.first, chat_body()));
    repair.join();
    CHECK(std::chrono::steady_clock::now() - started < seconds(2));
    CHECK(entries.events.field("request.resumed", "offset") == "5");
}

// Guards against gaps and repetitions caused by the engine itself.
TEST_CASE("an attempt with missing tokens is replaced and repeated tokens are dropped")
{
    two_entry_cluster entries;
    test_engine engine(entries.cluster, "engine-1");
    engine.repeat_at = 3;
    engine.skip_at = 9;
    std::thread repair(
        [&]
        {
            eventually([&] { return engine.attempts >= 2; });
            engine.skip_at = UINT64_MAX;
        });
    check_complete(read_completion(entries.first, chat_body()));
    repair.join();
    CHECK(engine.bodies().back()["resume_offset"] == 9);
}

// Guards against requests that stay on an endpoint that is about to be reclaimed.
TEST_CASE("a stream moves from a leaving endpoint to another one with its KV cache")
{
    two_entry_cluster entries;
    test_engine engine(entries.cluster, "engine-1");
    engine.has_kv = true;
    engine.token_delay_us = 20'000;
    std::unique_ptr<test_engine> other;
    std::thread leave(
        [&]
        {
            eventually([&] { return engine.attempts == 1; });
            std::this_thread::sleep_for(milliseconds(100));
            other = std::make_unique<test_engine>(entries.cluster, "engine-2");
            entries.cluster.set_leaving(endpoint_id("engine-1"));
        });
    check_complete(read_completion(entries.first, chat_body()));
    leave.join();
    CHECK(engine.attempts == 1);
    CHECK(other->attempts == 1);
    CHECK(other->imports == 1);
    CHECK(other->bodies().at(0)["kv_handle"] == "kv-7");
    CHECK(entries.events.field("request.resumed", "method") == "kv_import");
    // A leaving endpoint has not failed; counting it as a failure would discredit its version.
    for (auto const& sample : entries.first.control.samples())
        CHECK(sample.failures == 0);
}

// Guards against an accepted request that is lost when its owner fails.
TEST_CASE("the companion finishes the request of a failed owner")
{
    two_entry_cluster entries;
    test_engine engine(entries.cluster, "engine-1");
    engine.token_delay_us = 30'000;
    std::string id;
    std::thread caller([&] { id = read_completion(entries.first, chat_body()).request_id; });
    REQUIRE(eventually([&] { return engine.attempts == 1; }));
    std::this_thread::sleep_for(milliseconds(300));
    entries.first.crash();
    REQUIRE(eventually([&] { return entries.events.count("request.taken_over") == 1; }));
    caller.join();
    auto const stream = read_request(entries.second, id, 4);
    CHECK(stream.status == 200);
    CHECK(stream.text == expected_text(4, 20));
    CHECK(stream.is_done);
    CHECK(engine.attempts == 2);
}

// Guards against a finished request that is run again because its outcome was not sent to the
// companion.
TEST_CASE("the companion has the complete answer when the owner fails after finishing it")
{
    two_entry_cluster entries;
    test_engine engine(entries.cluster, "engine-1");
    // The progress call for the 32nd token is still in progress when the answer ends.
    engine.token_count = 32;
    std::vector<std::string> ids;
    for (int i = 0; i < 20; ++i)
        ids.push_back(read_completion(entries.first, chat_body()).request_id);
    std::this_thread::sleep_for(milliseconds(300));
    entries.first.crash();
    for (auto const& id : ids)
    {
        auto const stream = read_request(entries.second, id, 0);
        CHECK(stream.text == expected_text(0, 32));
        CHECK(stream.is_done);
    }
    CHECK(engine.attempts == 20);
    CHECK(entries.events.count("request.taken_over") == 0);
}

// Guards against a caller that can resume a request only at the entry that holds it.
TEST_CASE("any entry streams the remaining tokens of a request")
{
    two_entry_cluster entries;
    test_entry third(entries.cluster, entries.events, "entry-3", "dc-3");
    test_engine engine(entries.cluster, "engine-1");
    engine.token_delay_us = 10'000;
    std::string id;
    std::thread caller([&] { id = read_completion(entries.first, chat_body()).request_id; });
    caller.join();
    for (auto const* entry : {&entries.first, &entries.second, &third})
    {
        auto const stream = read_request(*entry, id, 15);
        CHECK(stream.text == expected_text(15, 20));
        CHECK(stream.is_done);
    }
    auto client = third.client();
    auto const response = client.Get("/v1/requests/" + id, key_header("key-2"));
    REQUIRE(response);
    CHECK(response->status == 403);
}

// Guards against an outage of all other entries that keeps this entry from answering.
TEST_CASE("without a reachable companion the answer is sent and an event is logged")
{
    memory_cluster cluster;
    recorded_events events;
    test_entry alone(cluster, events, "entry-1", "dc-1");
    test_engine engine(cluster, "engine-1");
    check_complete(read_completion(alone, chat_body()));
    CHECK(events.count("request.no_companion") == 1);
}

// Guards against a failing engine that makes callers wait until their deadline.
TEST_CASE("an engine that keeps failing leads to an early final response")
{
    two_entry_cluster entries;
    test_engine engine(entries.cluster, "engine-1");
    engine.status = 500;
    auto const started = std::chrono::steady_clock::now();
    auto const stream = read_completion(entries.first, chat_body());
    CHECK(stream.status == 502);
    CHECK(stream.refusal["executed"] == "no");
    CHECK(std::chrono::steady_clock::now() - started < seconds(8));
}

// Guards against a queue that accepts requests which cannot finish in time.
TEST_CASE("a request that would wait past its deadline is refused at once")
{
    two_entry_cluster entries;
    test_engine engine(entries.cluster, "engine-1");
    {
        std::lock_guard const lock(entries.cluster.mutex);
        entries.cluster.endpoints.at(endpoint_id("engine-1")).load.slots = 1;
    }
    engine.token_delay_us = 100'000;
    std::thread busy([&] { check_complete(read_completion(entries.first, chat_body())); });
    REQUIRE(eventually([&] { return engine.attempts == 1; }));
    auto const started = std::chrono::steady_clock::now();
    auto body = chat_body();
    body["max_tokens"] = 10'000;
    read_completion(entries.first, body, {{"X-Request-Timeout", "0.2"}});
    auto const stream = read_completion(entries.first, body, {{"X-Request-Timeout", "0.2"}});
    CHECK(stream.status == 503);
    CHECK(stream.refusal["executed"] == "no");
    CHECK(std::chrono::steady_clock::now() - started < milliseconds(700));
    busy.join();
    CHECK(engine.attempts == 1);
}
