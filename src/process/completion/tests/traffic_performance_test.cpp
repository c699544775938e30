#include <catch2/catch.hpp>

#include <iostream>

#include "traffic_harness.hpp"

using namespace lagoonladder;
using namespace lagoonladder::completion;

namespace
{

using steady = std::chrono::steady_clock;

/// Time from the request to the first token, on a connection that is kept open.
duration measure_first_token(httplib::Client& client, std::string const& body)
{
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.body = body;
    request.headers = key_header();
    auto const started = steady::now();
    std::optional<steady::time_point> first;
    request.content_receiver = [&](char const*, std::size_t, std::uint64_t, std::uint64_t)
    {
        if (!first)
            first = steady::now();
        return true;
    };
    httplib::Response response;
    auto failure = httplib::Error::Success;
    REQUIRE(client.send(request, response, failure));
    return std::chrono::duration_cast<duration>(*first - started);
}

duration median_first_token(std::string const& address, std::string const& body)
{
    httplib::Client client("http://" + address);
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    std::vector<duration> times;
    for (int i = 0; i < 300; ++i)
        times.push_back(measure_first_token(client, body));
    std::sort(times.begin(), times.end());
    return times[times.size() / 2];
}

} // namespace

// Reports how much the entry adds to the time to the first token on loopback. Runs only when
// named on the command line.
TEST_CASE("performance of the first token", "[.performance]")
{
    memory_cluster cluster;
    recorded_events events;
    test_entry first(cluster, events, "entry-1", "dc-1");
    test_entry second(cluster, events, "entry-2", "dc-2");
    test_engine engine(cluster, "engine-1");
    engine.token_delay_us = 0;
    engine.token_count = 4;
    auto const body = chat_body().dump();
    auto const direct_time = median_first_token(engine.record.address.value(), body);
    auto const entry_time = median_first_token(first.server->address().value(), body);
    std::cout << "first token, median of 300: direct " << direct_time.count()
              << " us, through an entry " << entry_time.count() << " us\n";
    CHECK(entry_time - direct_time < milliseconds(1));
}

// Reports the open streams and tokens per second of one entry. Runs only when named on the
// command line.
TEST_CASE("performance of many streams", "[.performance]")
{
    memory_cluster cluster;
    recorded_events events;
    test_entry first(cluster, events, "entry-1", "dc-1");
    test_entry second(cluster, events, "entry-2", "dc-2");
    std::vector<std::unique_ptr<test_engine>> engines;
    for (int i = 0; i < 10; ++i)
    {
        auto engine = std::make_unique<test_engine>(cluster, "engine-" + std::to_string(i));
        engine->token_delay_us = 100'000;
        engine->token_count = 100;
        engines.push_back(std::move(engine));
    }
    std::atomic<int> complete_streams = 0;
    std::atomic<int> open_streams = 0;
    std::atomic<int> max_open_streams = 0;
    std::vector<std::thread> callers;
    auto const started = steady::now();
    for (int i = 0; i < 500; ++i)
        callers.emplace_back(
            [&]
            {
                max_open_streams = std::max(max_open_streams.load(), ++open_streams);
                complete_streams +=
                    read_completion(first, chat_body(), {{"X-Request-Timeout", "60"}}).text ==
                    expected_text(0, 100);
                --open_streams;
            });
    for (auto& caller : callers)
        caller.join();
    auto const elapsed = std::chrono::duration<double>(steady::now() - started).count();
    std::cout << "500 streams of 100 tokens: " << complete_streams << " complete, "
              << max_open_streams << " open at once, " << 50'000 / elapsed << " tokens/s over "
              << elapsed << " s\n";
    CHECK(complete_streams == 500);
}
