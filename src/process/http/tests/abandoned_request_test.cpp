#include "loop_fixture.hpp"
#include "socket_options.hpp"

using namespace lagoonladder;

namespace
{

constexpr duration patience = milliseconds(200);
constexpr char const* request_text = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

asio::ip::tcp::socket connect(loop_fixture& loop)
{
    asio::ip::tcp::socket socket(loop.context);
    socket.connect(http::to_endpoint(loop.address));
    return socket;
}

} // namespace

TEST_CASE("a request whose caller has closed the connection may be abandoned")
{
    // Guards against an order that a daemon reads after it stood still, although its sender has
    // gone elsewhere.
    loop_fixture loop;
    std::vector<bool> abandoned;
    loop.handler.on_request = [&](http::server_exchange& exchange)
    {
        abandoned.push_back(exchange.may_be_abandoned(seconds(10)));
        exchange.respond({200, {}, {}}, "");
    };
    auto waiting = connect(loop);
    asio::write(waiting, asio::buffer(std::string(request_text)));
    loop.run_until([&] { return abandoned.size() == 1; });
    CHECK_FALSE(abandoned.back());

    // The loop does not run between the request and the close.
    auto gone = connect(loop);
    asio::write(gone, asio::buffer(std::string(request_text)));
    gone.close();
    loop.run_until([&] { return abandoned.size() == 2; });
    CHECK(abandoned.back());
}

TEST_CASE("a request on a connection that was opened long before may be abandoned")
{
    // Guards against a request that was held up on the network until after its sender gave it up.
    loop_fixture loop;
    std::vector<bool> abandoned;
    loop.handler.on_request = [&](http::server_exchange& exchange)
    {
        abandoned.push_back(exchange.may_be_abandoned(patience));
        exchange.respond({200, {}, {}}, "");
    };
    auto late = connect(loop);
    auto const opened = std::chrono::steady_clock::now();
    loop.run_until([&] { return std::chrono::steady_clock::now() - opened > patience * 2; });
    asio::write(late, asio::buffer(std::string(request_text)));
    loop.run_until([&] { return abandoned.size() == 1; });
    CHECK(abandoned.back());
    // A caller that keeps its connection open sends the next request when it likes.
    asio::write(late, asio::buffer(std::string(request_text)));
    loop.run_until([&] { return abandoned.size() == 2; });
    CHECK_FALSE(abandoned.back());
}
