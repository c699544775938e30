#include "loop_fixture.hpp"

using namespace lagoonladder;

namespace
{

/// One caller's connection, which it keeps between requests.
class kept_caller
{
public:
    explicit kept_caller(loop_fixture& fixture)
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

    /// Whether a request on the connection is answered.
    bool is_answered()
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

    /// Stays idle while the server's loop runs.
    void idle(std::chrono::milliseconds span)
    {
        this->loop.context.restart();
        this->loop.context.run_for(span);
    }

private:
    loop_fixture& loop;
    asio::ip::tcp::socket socket;
};

} // namespace

TEST_CASE("a longer idle limit holds for connections that are idle already")
{
    // Guards against a kept connection that is closed under its caller, who may use it for the
    // time that the newest configuration states.
    loop_fixture loop;
    loop.limits.idle_timeout = milliseconds(100);
    kept_caller caller(loop);
    REQUIRE(caller.is_answered());
    caller.idle(std::chrono::milliseconds(50));
    loop.limits.idle_timeout = seconds(10);
    caller.idle(std::chrono::milliseconds(1'500));
    CHECK(caller.is_answered());
}

TEST_CASE("a shorter idle limit holds from the next answer on")
{
    // Guards against a kept connection that is closed while its caller goes by the longer limit.
    loop_fixture loop;
    loop.limits.idle_timeout = seconds(3);
    kept_caller caller(loop);
    REQUIRE(caller.is_answered());
    caller.idle(std::chrono::milliseconds(50));
    loop.limits.idle_timeout = milliseconds(1);
    caller.idle(std::chrono::milliseconds(1'500));
    CHECK(caller.is_answered());
    caller.idle(std::chrono::milliseconds(1'500));
    CHECK_FALSE(caller.is_answered());
}
