#include "loop_fixture.hpp"

using namespace lagoonladder;

namespace
{

/// A caller that keeps its connection open between requests.
class keep_alive_caller
{
public:
    explicit keep_alive_caller(loop_fixture& fixture)
        : loop(fixture)
        , socket(fixture.context)
    {
        auto const text = fixture.address.value();
        auto const port = static_cast<std::uint16_t>(std::stoi(text.substr(text.find(':') + 1)));
        this->socket.connect({asio::ip::make_address("127.0.0.1"), port});
        fixture.handler.on_request = [](http::server_exchange& exchange) {
            exchange.respond({200, {}, {}}, "answer");
        };
    }

    /// Sends a request on the connection and returns whether the response has status 200.
    bool request_succeeds()
    {
        asio::error_code failure;
        asio::write(this->socket, asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")),
                    failure);
        std::array<char, 4096> chunk{};
        std::optional<std::size_t> received;
        this->socket.async_read_some(asio::buffer(chunk),
                                     [&](asio::error_code const&, std::size_t count)
                                     { received = count; });
        this->loop.run_until([&] { return received.has_value(); });
        return std::string_view(chunk.data(), *received).starts_with("HTTP/1.1 200");
    }

    /// Runs the event loop of the server while the connection is idle.
    void idle(std::chrono::milliseconds period)
    {
        this->loop.context.restart();
        this->loop.context.run_for(period);
    }

private:
    loop_fixture& loop;
    asio::ip::tcp::socket socket;
};

} // namespace

TEST_CASE("a longer idle timeout applies to connections that are already idle")
{
    // Guards against a connection that is closed although its caller may still use it by the idle
    // timeout of the current configuration.
    loop_fixture loop;
    loop.limits.idle_timeout = milliseconds(100);
    keep_alive_caller caller(loop);
    REQUIRE(caller.request_succeeds());
    caller.idle(std::chrono::milliseconds(50));
    loop.limits.idle_timeout = seconds(10);
    caller.idle(std::chrono::milliseconds(1'500));
    CHECK(caller.request_succeeds());
}

TEST_CASE("a shorter idle timeout applies from the next response on")
{
    // Guards against a connection that is closed while its caller still relies on the longer
    // timeout.
    loop_fixture loop;
    loop.limits.idle_timeout = seconds(3);
    keep_alive_caller caller(loop);
    REQUIRE(caller.request_succeeds());
    caller.idle(std::chrono::milliseconds(50));
    loop.limits.idle_timeout = milliseconds(1);
    caller.idle(std::chrono::milliseconds(1'500));
    CHECK(caller.request_succeeds());
    caller.idle(std::chrono::milliseconds(1'500));
    CHECK_FALSE(caller.request_succeeds());
}
