#include "loop_fixture.hpp"

using namespace lagoonladder;

namespace
{

std::string const request_text = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

/// A caller whose bytes the test sends and receives itself.
class raw_client
{
public:
    explicit raw_client(loop_fixture& fixture)
        : loop(fixture)
        , socket(fixture.context)
    {
        auto const text = fixture.address.value();
        auto const port = static_cast<std::uint16_t>(std::stoi(text.substr(text.find(':') + 1)));
        this->socket.connect({asio::ip::make_address("127.0.0.1"), port});
    }

    void send(std::string const& bytes) { asio::write(this->socket, asio::buffer(bytes)); }

    /// Reads until the server closes the connection.
    void read()
    {
        this->socket.async_read_some(asio::buffer(this->chunk),
                                     [this](asio::error_code const& problem, std::size_t count)
                                     {
                                         this->received.append(this->chunk.data(), count);
                                         this->end = problem;
                                         if (!problem)
                                             this->read();
                                     });
    }

    /// Returns everything received until the server closed the connection. Fails if the connection
    /// was reset.
    std::string const& read_to_end()
    {
        this->read();
        this->loop.run_until([this] { return bool(this->end); });
        CHECK(this->end == asio::error::eof);
        this->socket.close();
        return this->received;
    }

    loop_fixture& loop;
    asio::ip::tcp::socket socket;
    std::array<char, 65536> chunk{};
    std::string received;
    asio::error_code end;
};

void answer(http::server_exchange& exchange)
{
    exchange.respond({200, {}, {}}, "answer");
}

/// Returns a caller whose connection has carried one request and stays open.
std::unique_ptr<raw_client> open_idle_connection(loop_fixture& loop)
{
    loop.handler.on_request = answer;
    auto caller = std::make_unique<raw_client>(loop);
    caller->send(request_text);
    loop.run_until([&] { return caller->socket.available() > 0; });
    caller->received.resize(caller->socket.available());
    asio::read(caller->socket, asio::buffer(caller->received));
    caller->received.clear();
    return caller;
}

} // namespace

TEST_CASE("a drain ends idle connections without a reset")
{
    // Guards against a reset, which a caller treats as a lost request.
    loop_fixture loop;
    auto const caller = open_idle_connection(loop);
    loop.server.drain();
    CHECK_FALSE(loop.server.is_drained());
    CHECK(caller->read_to_end().empty());
    loop.run_until([&] { return loop.server.is_drained(); });
}

TEST_CASE("a request on an idle connection that arrives just before a drain is answered")
{
    // Guards against a received request whose connection is closed without a response.
    loop_fixture loop;
    auto const caller = open_idle_connection(loop);
    loop.handler.exchanges.clear();
    caller->send(request_text);
    loop.server.drain();
    auto const& text = caller->read_to_end();
    CHECK(text.starts_with("HTTP/1.1 503"));
    CHECK(text.find("Connection: close") != std::string::npos);
    CHECK(loop.handler.exchanges.empty());
    loop.run_until([&] { return loop.server.is_drained(); });
}

TEST_CASE("connections that wait to be accepted are answered by a drain")
{
    // Guards against requests in the backlog that are reset when the listening socket is closed.
    loop_fixture loop;
    std::vector<std::unique_ptr<raw_client>> callers;
    for (int i = 0; i < 5; ++i)
    {
        callers.push_back(std::make_unique<raw_client>(loop));
        callers.back()->send(request_text);
    }
    loop.server.drain();
    for (auto const& caller : callers)
        CHECK(caller->read_to_end().starts_with("HTTP/1.1 503"));
    CHECK_THROWS(raw_client(loop));
    loop.run_until([&] { return loop.server.is_drained(); });
}

TEST_CASE("a drain waits for the answer of a request that is being handled")
{
    // Guards against a response that is truncated because its request was not counted as busy.
    loop_fixture loop;
    raw_client caller(loop);
    caller.send(request_text);
    loop.run_until([&] { return !loop.handler.exchanges.empty(); });
    loop.server.drain();
    loop.context.restart();
    loop.context.run_for(std::chrono::milliseconds(60));
    CHECK_FALSE(loop.server.is_drained());
    answer(*loop.handler.exchanges.front());
    CHECK(caller.read_to_end().ends_with("answer"));
    loop.run_until([&] { return loop.server.is_drained(); });
}

TEST_CASE("a drain waits until a slow caller has read its answer")
{
    // Guards against a drain that ends, and truncates a response, while the sender still buffers
    // it.
    loop_fixture loop;
    std::string const content(8 * 1024 * 1024, 'x');
    loop.handler.on_request = [&](http::server_exchange& exchange) {
        exchange.respond({200, {}, {}}, content);
    };
    raw_client caller(loop);
    caller.send(request_text);
    loop.run_until([&] { return !loop.handler.exchanges.empty(); });
    loop.server.drain();
    loop.context.restart();
    loop.context.run_for(std::chrono::milliseconds(60));
    CHECK_FALSE(loop.server.is_drained());
    CHECK(caller.read_to_end().size() > content.size());
    loop.run_until([&] { return loop.server.is_drained(); });
}

TEST_CASE("a stream that began before a drain is completed and its connection is closed")
{
    // Guards against a reused connection that is closed at the next request, since the head of its
    // last response was sent without "Connection: close".
    loop_fixture loop;
    raw_client caller(loop);
    caller.send(request_text);
    loop.run_until([&] { return !loop.handler.exchanges.empty(); });
    auto const exchange = loop.handler.exchanges.front();
    exchange->begin({200, {}, {}}, std::nullopt);
    exchange->write("one");
    loop.server.drain();
    exchange->write("two");
    exchange->finish();
    CHECK(caller.read_to_end().ends_with("0\r\n\r\n"));
    loop.run_until([&] { return loop.server.is_drained(); });
}

TEST_CASE("a request that is being read during a drain gets an answer")
{
    // Guards against a drain that ends while a request has been received only in part.
    loop_fixture loop;
    raw_client complete_request(loop);
    raw_client partial_request(loop);
    for (auto* caller : {&complete_request, &partial_request})
        caller->send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab");
    loop.context.run_for(std::chrono::milliseconds(20));
    loop.server.drain();
    loop.context.restart();
    loop.context.run_for(std::chrono::milliseconds(60));
    CHECK_FALSE(loop.server.is_drained());
    complete_request.send("cd");
    CHECK(complete_request.read_to_end().starts_with("HTTP/1.1 503"));
    loop.server.refuse_incomplete();
    CHECK(partial_request.read_to_end().starts_with("HTTP/1.1 503"));
    CHECK(loop.handler.exchanges.empty());
    loop.run_until([&] { return loop.server.is_drained(); });
}
