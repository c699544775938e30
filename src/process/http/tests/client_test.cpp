#include "loop_fixture.hpp"

using namespace lagoonladder;

namespace
{

/// A server that sends the same bytes on each connection.
class raw_server
{
public:
    raw_server(asio::io_context& io, std::string bytes, bool closes_connection)
        : context(io)
        , acceptor(io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , response(std::move(bytes))
        , closes_after_response(closes_connection)
    {
        this->accept();
    }

    network_address address() const
    {
        return network_address("127.0.0.1:" +
                               std::to_string(this->acceptor.local_endpoint().port()));
    }

    int accepted_connections = 0;

private:
    void accept()
    {
        this->acceptor.async_accept(
            [this](asio::error_code const& problem, asio::ip::tcp::socket socket)
            {
                if (problem)
                    return;
                ++this->accepted_connections;
                auto const peer = std::make_shared<asio::ip::tcp::socket>(std::move(socket));
                auto const chunk = std::make_shared<std::array<char, 4096>>();
                peer->async_read_some(asio::buffer(*chunk),
                                      [this, peer, chunk](asio::error_code const&, std::size_t)
                                      {
                                          asio::error_code ignored;
                                          asio::write(*peer, asio::buffer(this->response), ignored);
                                          if (!this->closes_after_response)
                                              this->open_sockets.push_back(peer);
                                      });
                this->accept();
            });
    }

    asio::io_context& context;
    asio::ip::tcp::acceptor acceptor;
    std::string response;
    bool closes_after_response;
    std::vector<std::shared_ptr<asio::ip::tcp::socket>> open_sockets;
};

} // namespace

TEST_CASE("a response to an earlier request is skipped")
{
    // Guards against a response that is delivered to the caller of another request.
    loop_fixture loop;
    raw_server peer(loop.context,
                    "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\nold"
                    "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nnew",
                    false);
    auto const observer = std::make_shared<recording_observer>();
    loop.client.send(peer.address(), loop.request(), observer);
    loop.run_until([&] { return observer->is_over(); });
    INFO(observer->reason);
    CHECK(observer->has_ended);
    CHECK(observer->body == "new");
}

TEST_CASE("a connection with bytes after its response is not reused")
{
    // Guards against such bytes that are read as the response to the next request.
    loop_fixture loop;
    raw_server peer(loop.context, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naEXTRA", false);
    for (int round = 0; round < 2; ++round)
    {
        auto const observer = std::make_shared<recording_observer>();
        loop.client.send(peer.address(), loop.request(), observer);
        loop.run_until([&] { return observer->is_over(); });
        CHECK(observer->body == "a");
    }
    CHECK(peer.accepted_connections == 2);
}

TEST_CASE("a call whose connection is refused has sent nothing")
{
    // Guards against a call that is not retried elsewhere although no server has received it.
    loop_fixture loop;
    auto const observer = std::make_shared<recording_observer>();
    auto const call = loop.client.send(free_address(), loop.request(), observer);
    loop.run_until([&] { return observer->is_over(); });
    CHECK(observer->failure == http::call_failure::not_sent);
    CHECK_FALSE(call->may_have_sent());
}

TEST_CASE("a call without a response ends at its timeout")
{
    // Guards against a duty that waits forever for a platform that accepts calls but never
    // responds.
    loop_fixture loop;
    http::client_options options;
    options.response_timeout = milliseconds(100);
    http::client client(loop.context, options, loop.time);
    auto const observer = std::make_shared<recording_observer>();
    client.send(loop.address, loop.request(), observer);
    loop.run_until([&] { return observer->is_over(); });
    CHECK(observer->failure == http::call_failure::no_response);
    CHECK(client.connections(loop.address) == 0);

    // The timer of a completed call does not end the next call.
    loop.handler.on_request = [](http::server_exchange& exchange) {
        exchange.respond({200, {}, {}}, "x");
    };
    for (int round = 0; round < 3; ++round)
    {
        auto const answered = std::make_shared<recording_observer>();
        client.send(loop.address, loop.request(), answered);
        loop.run_until([&] { return answered->is_over(); });
        CHECK(answered->has_ended);
        loop.context.run_for(std::chrono::milliseconds(60));
    }
}

TEST_CASE("truncated and malformed responses fail and a response without a length does not")
{
    // Guards against a truncated response that is taken for a complete one.
    loop_fixture loop;
    auto const outcome = [&](std::string const& bytes)
    {
        raw_server peer(loop.context, bytes, true);
        auto const observer = std::make_shared<recording_observer>();
        loop.client.send(peer.address(), loop.request(), observer);
        loop.run_until([&] { return observer->is_over(); });
        return *observer;
    };
    CHECK(outcome("HTTP/1.1 200 OK\r\n\r\nall").has_ended);
    CHECK(outcome("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut").failure ==
          http::call_failure::broken_response);
    CHECK(outcome("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ncut\r\n").failure ==
          http::call_failure::broken_response);
    CHECK(outcome("garbage\r\n\r\n").failure == http::call_failure::no_response);
    CHECK(outcome("").failure == http::call_failure::no_response);
}

TEST_CASE("the response to a HEAD request ends with its head")
{
    // Guards against a client that waits for a body that is never sent.
    loop_fixture loop;
    loop.handler.on_request = [](http::server_exchange& exchange) {
        exchange.respond({200, {}, {}}, "four");
    };
    http::request_head head{"HEAD", "/a", {}};
    head.headers.add("Host", "h");
    for (int i = 0; i < 2; ++i)
    {
        auto const observer = std::make_shared<recording_observer>();
        loop.client.send(loop.address,
                         std::make_shared<std::string const>(http::format_request(head, "")),
                         observer);
        loop.run_until([&] { return observer->is_over(); });
        CHECK(observer->has_ended);
        CHECK(observer->body.empty());
        REQUIRE(observer->heads.size() == 1);
        CHECK(*observer->heads[0].headers.find("Content-Length") == "4");
    }
    CHECK(loop.client.opened() == 1);
}
