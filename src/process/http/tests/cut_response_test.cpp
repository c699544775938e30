#include "loop_fixture.hpp"

using namespace lagoonladder;

namespace
{

/// A server that responds before it has read the request, and then resets the connection or ends
/// its response in order.
class early_server
{
public:
    early_server(asio::io_context& context, std::string bytes, bool resets_connection)
        : acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , response(std::move(bytes))
        , is_reset(resets_connection)
    {
        this->acceptor.async_accept(
            [this](asio::error_code const& problem, asio::ip::tcp::socket socket)
            {
                if (problem)
                    return;
                this->peer.emplace(std::move(socket));
                asio::write(*this->peer, asio::buffer(this->response));
                if (this->is_reset)
                    this->peer->set_option(asio::socket_base::linger(true, 0));
                // Closes in order when nothing is unread; the request is sent only after that.
                this->peer->close();
            });
    }

    network_address address() const
    {
        return network_address("127.0.0.1:" +
                               std::to_string(this->acceptor.local_endpoint().port()));
    }

    asio::ip::tcp::acceptor acceptor;
    std::string response;
    bool is_reset;
    std::optional<asio::ip::tcp::socket> peer;
};

std::shared_ptr<recording_observer> call(loop_fixture& loop, network_address const& address,
                                         std::size_t body_bytes)
{
    auto const observer = std::make_shared<recording_observer>();
    loop.client.send(address, loop.request(std::string(body_bytes, 'x')), observer);
    loop.run_until([&] { return observer->is_over(); });
    return observer;
}

} // namespace

TEST_CASE("a response without a length that is cut while the request is written is incomplete")
{
    // Guards against a part of a body that is taken as complete: the write consumes the error of
    // the reset, and the read reports an ordinary end of the connection.
    std::string const response = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart of the answer";
    for (bool const is_reset : {true, false})
    {
        loop_fixture loop;
        early_server peer(loop.context, response, is_reset);
        auto const observer = call(loop, peer.address(), 16 * 1024 * 1024);
        CHECK_FALSE(observer->has_ended);
        CHECK(observer->failure);
    }
}

TEST_CASE("a response with a status outside 200 to 599 is no response")
{
    // Guards against a malformed response that is passed on, or awaited for ever as interim.
    for (std::string const status : {"000", "099", "600", "999"})
    {
        loop_fixture loop;
        asio::ip::tcp::acceptor acceptor(
            loop.context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        std::optional<asio::ip::tcp::socket> peer;
        acceptor.async_accept(
            [&](asio::error_code const&, asio::ip::tcp::socket socket)
            {
                peer.emplace(std::move(socket));
                asio::write(*peer, asio::buffer("HTTP/1.1 " + status +
                                                " Odd\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"));
            });
        auto const observer = call(
            loop, network_address("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())),
            0);
        CHECK(observer->failure == http::call_failure::no_response);
        CHECK(observer->heads.empty());
        CHECK_FALSE(observer->has_ended);
    }
}
