#include <catch2/catch.hpp>

#include "endless_server.hpp"
#include "traffic_harness.hpp"

using namespace lagoonladder;
using namespace lagoonladder::completion;

namespace
{

/// An engine that sends the beginning of a response and then repeats the same bytes without end.
class endless_engine
{
public:
    endless_engine(memory_cluster& cluster, std::string const& beginning,
                   std::string const& repeated_bytes)
        : server(this->context, beginning, repeated_bytes)
    {
        connection::endpoint_record record;
        record.id = endpoint_id("engine-1");
        record.service = service_name("advisor");
        record.version = version_name("v1");
        record.load.slots = 64;
        record.address = this->server.address();
        cluster.add(record);
        this->thread = std::thread([this] { this->context.run(); });
    }

    ~endless_engine()
    {
        this->context.stop();
        this->thread.join();
    }

private:
    asio::io_context context;
    endless_server server;
    std::thread thread;
};

std::string const stream_head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

std::string token_event(std::uint64_t offset)
{
    return R"(data: {"choices":[{"index":0,"delta":{"content":"t)" + std::to_string(offset) +
           R"( "},"finish_reason":null}],"offset":)" + std::to_string(offset) + "}\n\n";
}

std::string const stream_end =
    "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"length\"}]}\n\n"
    "data: [DONE]\n\n";

/// Well below the 10 s timeout of the service in these tests.
constexpr auto max_response_time = std::chrono::seconds(3);

} // namespace

// Guards against a complete answer whose caller waits until the deadline, because the engine
// keeps sending bytes after the last event.
TEST_CASE("an endless stream after the last event does not delay the end of the answer")
{
    for (auto const& repeated_bytes :
         {token_event(2), std::string(": alive\n\n"), std::string(4096, 'x')})
    {
        memory_cluster cluster;
        recorded_events events;
        test_entry entry{cluster, events, "entry-1", "dc-1"};
        endless_engine engine(cluster, stream_head + token_event(0) + token_event(1) + stream_end,
                              repeated_bytes);
        auto const start_time = std::chrono::steady_clock::now();
        auto const stream = read_completion(entry, chat_body());
        INFO(repeated_bytes.substr(0, 20));
        CHECK(stream.status == 200);
        CHECK(stream.text == expected_text(0, 2));
        CHECK(stream.is_done);
        CHECK(std::chrono::steady_clock::now() - start_time < max_response_time);
    }
}

// Guards against an error of an engine that the caller learns only at the deadline, because the
// body of the error response has no end.
TEST_CASE("an endless error response of an engine is reported to the caller immediately")
{
    memory_cluster cluster;
    recorded_events events;
    test_entry entry{cluster, events, "entry-1", "dc-1"};
    endless_engine engine(cluster, "HTTP/1.1 400 Bad\r\n\r\n", std::string(4096, 'x'));
    auto const start_time = std::chrono::steady_clock::now();
    auto const stream = read_completion(entry, chat_body());
    CHECK(stream.status >= 400);
    CHECK(std::chrono::steady_clock::now() - start_time < max_response_time);
}
