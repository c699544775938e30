#include "endless_server.hpp"
#include "loop_fixture.hpp"

using namespace lagoonladder;

namespace
{

/// Maximum memory that the connection to a server may take up, in bytes.
constexpr std::size_t max_connection_memory = 256 * 1024;
/// More than the client reads before it gives up on a response, plus the socket buffers.
constexpr std::uint64_t max_sent_bytes = 8 * 1024 * 1024;

std::string repeated(std::string const& text, std::size_t count)
{
    std::string all;
    for (std::size_t i = 0; i < count; ++i)
        all += text;
    return all;
}

struct endless_case
{
    std::string name;
    std::string beginning;
    std::string unit;
    duration pause{};
};

std::string const other_response_head = "HTTP/1.1 200 OK\r\nId: 0\r\n";
std::string const chunked = "Transfer-Encoding: chunked\r\n\r\n";

/// Servers whose bytes never become the response to the call.
std::vector<endless_case> no_response_cases()
{
    return {
        {"garbage without a line end", "\x01\x02", std::string(4096, '\x7f')},
        {"a reason without an end", "HTTP/1.1 200 ", std::string(4096, 'a')},
        {"a field without an end", "HTTP/1.1 200 OK\r\nA: ", std::string(4096, 'a')},
        {"header lines", "HTTP/1.1 200 OK\r\n", repeated("A: b\r\n", 600)},
        {"header lines one by one", "HTTP/1.1 200 OK\r\n", "Aa: " + std::string(90, 'b') + "\r\n",
         microseconds(50)},
        {"short header lines one by one", "HTTP/1.1 200 OK\r\n", "A:\r\n", microseconds(50)},
        {"100 Continue", "", repeated("HTTP/1.1 100 Continue\r\n\r\n", 100)},
        {"responses to other requests", "", other_response_head + "Content-Length: 1\r\n\r\nx"},
        {"the long body of another response",
         other_response_head + "Content-Length: 900000000000\r\n\r\n", std::string(4096, 'a')},
        {"the body of another response", other_response_head + "\r\n", std::string(4096, 'a')},
        {"chunks of another response", other_response_head + chunked,
         repeated("3\r\nabc\r\n", 500)},
        {"a chunk extension of another response",
         other_response_head + chunked + "3;a=", std::string(4096, 'a')},
        {"the trailer of another response", other_response_head + chunked + "0\r\n",
         repeated("A: b\r\n", 600)},
    };
}

/// Servers that begin the response to the call and never complete it.
std::vector<endless_case> endless_response_cases()
{
    std::string const head = "HTTP/1.1 200 OK\r\nId: 1\r\n";
    return {
        {"a chunk extension", head + chunked + "3;a=", std::string(4096, 'a')},
        {"a chunk's size", head + chunked, std::string(4096, '0')},
        {"a chunk extension after a chunk",
         head + chunked + "3\r\nabc\r\n3;a=", std::string(4096, 'a')},
        {"a trailer", head + chunked + "0\r\n", repeated("A: b\r\n", 600)},
        {"a trailer line", head + chunked + "0\r\nA: ", std::string(4096, 'a')},
    };
}

void check_failure(endless_case const& server_case, http::call_failure expected)
{
    loop_fixture loop;
    endless_server peer(loop.context, server_case.beginning, server_case.unit, server_case.pause);
    auto const observer = std::make_shared<recording_observer>();
    loop.client.send(peer.address(), loop.request(), observer);
    auto const end = std::chrono::steady_clock::now() + std::chrono::seconds(2);
    while (!observer->is_over() && std::chrono::steady_clock::now() < end)
    {
        loop.context.restart();
        loop.context.run_for(std::chrono::milliseconds(2));
    }
    INFO(server_case.name << ": " << peer.sent_bytes << " bytes sent, heap grew by "
                          << peer.heap_growth() << " bytes, reason: " << observer->reason);
    CHECK(observer->failure == expected);
    CHECK(observer->body.size() <= 3);
    CHECK(peer.heap_growth() < max_connection_memory);
    CHECK(peer.sent_bytes < max_sent_bytes);
    CHECK(loop.client.connections(peer.address()) == 0);
    if (observer->is_over())
        loop.run_until([&] { return peer.closed_by_peer == 1; });
}

} // namespace

TEST_CASE("bytes without end that never become a response end the call")
{
    // Guards against a call that waits until its deadline, while a head or a chunk line grows in
    // memory, because its server sends bytes that are not the response to it.
    for (auto const& server_case : no_response_cases())
        check_failure(server_case, http::call_failure::no_response);
}

TEST_CASE("a response with endless framing is broken")
{
    // Guards against a chunk line or a trailer that grows in memory until the call's deadline.
    for (auto const& server_case : endless_response_cases())
        check_failure(server_case, http::call_failure::broken_response);
}

TEST_CASE("a head with too many lines ends the call although the lines arrive one by one")
{
    // Guards against a limit of the fields that takes effect only when the head is complete: with
    // short lines the limit in bytes is reached after thousands of packets.
    constexpr std::uint64_t max_head_bytes = 8 * 1024;
    loop_fixture loop;
    endless_server peer(loop.context, "HTTP/1.1 200 OK\r\n", "A:\r\n", microseconds(50));
    auto const observer = std::make_shared<recording_observer>();
    loop.client.send(peer.address(), loop.request(), observer);
    loop.run_until([&] { return observer->is_over(); });
    INFO(observer->reason);
    CHECK(observer->failure == http::call_failure::no_response);
    CHECK(peer.sent_bytes < max_head_bytes);
    CHECK(loop.client.connections(peer.address()) == 0);
}

TEST_CASE("a response head with too many short fields is rejected")
{
    // Guards against heads that take up megabytes in memory although their size is within the
    // limit.
    loop_fixture loop;
    auto const outcome = [&](std::size_t fields)
    {
        endless_server peer(loop.context,
                            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n" +
                                repeated("A: b\r\n", fields) + "\r\nx",
                            "");
        auto const observer = std::make_shared<recording_observer>();
        loop.client.send(peer.address(), loop.request(), observer);
        loop.run_until([&] { return observer->is_over(); });
        return *observer;
    };
    CHECK(outcome(200).has_ended);
    CHECK(outcome(10000).failure == http::call_failure::no_response);
}

TEST_CASE("a few interim heads and earlier responses before the response are skipped")
{
    // Guards against limits that a correct server exceeds.
    loop_fixture loop;
    auto const before = repeated("HTTP/1.1 102 Processing\r\n\r\n", 10) + other_response_head +
                        "Content-Length: 200000\r\n\r\n" + std::string(200000, 'a') +
                        other_response_head + chunked + "3;a=b\r\nabc\r\n0\r\nA: b\r\n\r\n";
    endless_server peer(loop.context,
                        before + "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nnew", "x");
    auto const observer = std::make_shared<recording_observer>();
    loop.client.send(peer.address(), loop.request(), observer);
    loop.run_until([&] { return observer->is_over(); });
    INFO(observer->reason);
    CHECK(observer->has_ended);
    CHECK(observer->body == "new");
}

TEST_CASE("a request with an endless chunk extension is rejected")
{
    // Guards against a connection that is not read any more and stays open until its idle timeout.
    loop_fixture loop;
    auto const received =
        loop.exchange_raw("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;a=" +
                          std::string(20 * 1024, 'a'));
    CHECK(received.starts_with("HTTP/1.1 400 "));
    CHECK(loop.handler.exchanges.empty());
}

TEST_CASE("endless header lines of a request are rejected although they arrive one by one")
{
    // Guards against a limit that counts only the bytes of one read.
    loop_fixture loop;
    asio::ip::tcp::socket socket(loop.context);
    auto const text = loop.address.value();
    auto const port = static_cast<std::uint16_t>(std::stoi(text.substr(text.find(':') + 1)));
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    std::string const line = "Aa: " + std::string(90, 'b') + "\r\n";
    asio::error_code problem;
    asio::write(socket, asio::buffer(std::string("GET /a HTTP/1.1\r\n")), problem);
    std::size_t sent = 0;
    socket.non_blocking(true);
    std::string received(512, '\0');
    std::size_t count = 0;
    while (count == 0 && sent < 64 * 1024)
    {
        loop.context.restart();
        loop.context.run_for(std::chrono::microseconds(200));
        asio::error_code ignored;
        sent += socket.write_some(asio::buffer(line), ignored);
        count = socket.read_some(asio::buffer(received), ignored);
    }
    CHECK(received.starts_with("HTTP/1.1 431 "));
    CHECK(sent < 20 * 1024);
}
