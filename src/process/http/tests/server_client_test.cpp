#include <catch2/catch.hpp>

#include <lagoonladder/http.hpp>

using namespace lagoonladder;

namespace
{

network_address free_address()
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(
        context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return network_address("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
}

/// Keeps exchanges for the test to answer.
class recording_handler : public http::request_handler
{
public:
    void handle(std::shared_ptr<http::server_exchange> const& exchange) override
    {
        this->exchanges.push_back(exchange);
        if (this->on_request)
            this->on_request(*exchange);
    }

    std::vector<std::shared_ptr<http::server_exchange>> exchanges;
    std::function<void(http::server_exchange&)> on_request;
};

class recording_observer : public http::response_observer
{
public:
    http::head_action on_head(http::response_head const& head) override
    {
        this->heads.push_back(head);
        auto const* id = head.headers.find("Id");
        bool const foreign = id != nullptr && *id != this->expected_id;
        return foreign ? http::head_action::skip : http::head_action::accept;
    }

    void on_body(std::string_view bytes) override { this->body += bytes; }
    void on_end() override { this->ended = true; }

    void on_failure(http::call_failure kind, std::string const& why) override
    {
        this->failure = kind;
        this->reason = why;
    }

    bool is_over() const { return this->ended || this->failure; }

    std::string expected_id = "1";
    std::vector<http::response_head> heads;
    std::string body;
    bool ended = false;
    std::optional<http::call_failure> failure;
    std::string reason;
};

struct loop_fixture
{
    loop_fixture()
        : address(free_address())
        , server(
              context, {address, 100, "test"}, handler, [this] { return limits; }, events, time)
        , client(context, {}, time)
    {
        server.start();
    }

    /// Runs the loop until the condition holds; fails after two seconds.
    void run_until(std::function<bool()> const& condition)
    {
        auto const end = std::chrono::steady_clock::now() + std::chrono::seconds(2);
        while (!condition() && std::chrono::steady_clock::now() < end)
        {
            context.restart();
            context.run_for(std::chrono::milliseconds(2));
        }
        REQUIRE(condition());
    }

    std::shared_ptr<std::string const> request(std::string const& body = "")
    {
        http::request_head head{"POST", "/a", {}};
        head.headers.add("Host", "h");
        return std::make_shared<std::string const>(http::format_request(head, body));
    }

    /// Sends raw bytes and returns all that comes back until the server closes.
    std::string exchange_raw(std::string const& bytes)
    {
        asio::ip::tcp::socket socket(context);
        auto const text = address.value();
        auto const port = static_cast<std::uint16_t>(std::stoi(text.substr(text.find(':') + 1)));
        socket.connect({asio::ip::make_address("127.0.0.1"), port});
        asio::write(socket, asio::buffer(bytes));
        std::string received;
        bool closed = false;
        std::array<char, 4096> chunk{};
        std::function<void()> read = [&]
        {
            socket.async_read_some(asio::buffer(chunk),
                                   [&](asio::error_code const& problem, std::size_t count)
                                   {
                                       received.append(chunk.data(), count);
                                       closed = bool(problem);
                                       if (!problem)
                                           read();
                                   });
        };
        read();
        run_until([&] { return closed; });
        return received;
    }

    asio::io_context context;
    system_clock time;
    null_event_sink events;
    http::connection_limits limits;
    recording_handler handler;
    network_address address;
    http::server server;
    http::client client;
};

/// A server that answers each connection with fixed bytes.
class raw_server
{
public:
    raw_server(asio::io_context& io, std::string bytes, bool closes)
        : context(io)
        , acceptor(io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , answer(std::move(bytes))
        , close_after(closes)
    {
        this->accept();
    }

    network_address address() const
    {
        return network_address("127.0.0.1:" +
                               std::to_string(this->acceptor.local_endpoint().port()));
    }

    int accepted = 0;

private:
    void accept()
    {
        this->acceptor.async_accept(
            [this](asio::error_code const& problem, asio::ip::tcp::socket socket)
            {
                if (problem)
                    return;
                ++this->accepted;
                auto const peer = std::make_shared<asio::ip::tcp::socket>(std::move(socket));
                auto const chunk = std::make_shared<std::array<char, 4096>>();
                peer->async_read_some(asio::buffer(*chunk),
                                      [this, peer, chunk](asio::error_code const&, std::size_t)
                                      {
                                          asio::error_code ignored;
                                          asio::write(*peer, asio::buffer(this->answer), ignored);
                                          if (!this->close_after)
                                              this->open.push_back(peer);
                                      });
                this->accept();
            });
    }

    asio::io_context& context;
    asio::ip::tcp::acceptor acceptor;
    std::string answer;
    bool close_after;
    std::vector<std::shared_ptr<asio::ip::tcp::socket>> open;
};

} // namespace

TEST_CASE("a request and its answer pass through server and client")
{
    loop_fixture loop;
    loop.handler.on_request = [](http::server_exchange& exchange) {
        exchange.respond({200, {}, {}}, "echo:" + exchange.body());
    };
    auto const first = std::make_shared<recording_observer>();
    loop.client.send(loop.address, loop.request("x"), first);
    loop.run_until([&] { return first->is_over(); });
    CHECK(first->ended);
    CHECK(first->body == "echo:x");

    // The second call uses the kept connection.
    auto const second = std::make_shared<recording_observer>();
    loop.client.send(loop.address, loop.request("y"), second);
    loop.run_until([&] { return second->is_over(); });
    CHECK(second->body == "echo:y");
    CHECK(loop.client.opened() == 1);
}

TEST_CASE("parts of a stream arrive as they are written")
{
    loop_fixture loop;
    auto const observer = std::make_shared<recording_observer>();
    loop.client.send(loop.address, loop.request(), observer);
    loop.run_until([&] { return !loop.handler.exchanges.empty(); });
    auto const exchange = loop.handler.exchanges.front();
    exchange->begin({200, {}, {}}, std::nullopt);
    exchange->write("one");
    loop.run_until([&] { return observer->body == "one"; });
    CHECK_FALSE(observer->is_over());
    exchange->write("two");
    exchange->finish();
    loop.run_until([&] { return observer->is_over(); });
    CHECK(observer->ended);
    CHECK(observer->body == "onetwo");
}

TEST_CASE("an answer that ends early is seen as incomplete")
{
    // Guards against a truncated answer that looks complete to the caller.
    loop_fixture loop;
    auto const observer = std::make_shared<recording_observer>();
    loop.client.send(loop.address, loop.request(), observer);
    loop.run_until([&] { return !loop.handler.exchanges.empty(); });
    loop.handler.exchanges.front()->begin({200, {}, {}}, std::nullopt);
    loop.handler.exchanges.front()->write("part");
    loop.handler.exchanges.front()->abort();
    loop.run_until([&] { return observer->is_over(); });
    CHECK(observer->failure == http::call_failure::broken_response);
}

TEST_CASE("a handler learns that its caller has gone")
{
    // Guards against work at an endpoint that nobody waits for any more.
    loop_fixture loop;
    bool closed = false;
    loop.handler.on_request = [&](http::server_exchange& exchange)
    { exchange.on_closed([&] { closed = true; }); };
    auto const call =
        loop.client.send(loop.address, loop.request(), std::make_shared<recording_observer>());
    loop.run_until([&] { return !loop.handler.exchanges.empty(); });
    call->cancel();
    loop.run_until([&] { return closed; });
}

TEST_CASE("ambiguous and oversized requests are rejected")
{
    // Guards against request smuggling and unbounded memory.
    loop_fixture loop;
    loop.limits.max_header_bytes = 256;
    loop.limits.max_body_bytes = 8;
    loop.limits.header_timeout = milliseconds(100);
    auto const status = [&](std::string const& bytes)
    {
        auto const answer = loop.exchange_raw(bytes);
        return answer.size() < 12 ? std::string() : answer.substr(9, 3);
    };
    CHECK(status("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n") == "400");
    CHECK(status(
              "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd") ==
          "400");
    CHECK(status("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n") == "400");
    CHECK(status("POST / HTTP/1.1\r\nHost : h\r\n\r\n") == "400");
    CHECK(status("nonsense\r\n\r\n") == "400");
    CHECK(status("GET /" + std::string(300, 'x') + " HTTP/1.1\r\nHost: h\r\n\r\n") == "431");
    CHECK(status("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n123456789") == "413");
    CHECK(status("GET / HTTP/1.1\r\nHost:") == "408");
    CHECK(loop.handler.exchanges.empty());
}

TEST_CASE("a response to an earlier request is skipped")
{
    // Guards against an answer that reaches the caller of another request.
    loop_fixture loop;
    raw_server peer(loop.context,
                    "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\nold"
                    "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nnew",
                    false);
    auto const observer = std::make_shared<recording_observer>();
    loop.client.send(peer.address(), loop.request(), observer);
    loop.run_until([&] { return observer->is_over(); });
    INFO(observer->reason);
    CHECK(observer->ended);
    CHECK(observer->body == "new");
}

TEST_CASE("a connection with bytes behind its answer is not used again")
{
    loop_fixture loop;
    raw_server peer(loop.context, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naEXTRA", false);
    for (int round = 0; round < 2; ++round)
    {
        auto const observer = std::make_shared<recording_observer>();
        loop.client.send(peer.address(), loop.request(), observer);
        loop.run_until([&] { return observer->is_over(); });
        CHECK(observer->body == "a");
    }
    CHECK(peer.accepted == 2);
}

TEST_CASE("a refused connection has sent nothing")
{
    loop_fixture loop;
    auto const observer = std::make_shared<recording_observer>();
    auto const call = loop.client.send(free_address(), loop.request(), observer);
    loop.run_until([&] { return observer->is_over(); });
    CHECK(observer->failure == http::call_failure::not_sent);
    CHECK_FALSE(call->may_have_sent());
}

TEST_CASE("a call without a response ends at its timeout")
{
    // Guards against a duty that waits for ever for a platform that takes calls and is silent.
    loop_fixture loop;
    http::client_options options;
    options.response_timeout = milliseconds(100);
    http::client client(loop.context, options, loop.time);
    auto const observer = std::make_shared<recording_observer>();
    client.send(loop.address, loop.request(), observer);
    loop.run_until([&] { return observer->is_over(); });
    CHECK(observer->failure == http::call_failure::no_response);
    CHECK(client.connections(loop.address) == 0);

    // An answered call leaves no timer behind that ends the next one.
    loop.handler.on_request = [](http::server_exchange& exchange) {
        exchange.respond({200, {}, {}}, "x");
    };
    for (int round = 0; round < 3; ++round)
    {
        auto const answered = std::make_shared<recording_observer>();
        client.send(loop.address, loop.request(), answered);
        loop.run_until([&] { return answered->is_over(); });
        CHECK(answered->ended);
        loop.context.run_for(std::chrono::milliseconds(60));
    }
}

TEST_CASE("responses without a length, cut or malformed")
{
    loop_fixture loop;
    auto const outcome = [&](std::string const& bytes)
    {
        raw_server peer(loop.context, bytes, true);
        auto const observer = std::make_shared<recording_observer>();
        loop.client.send(peer.address(), loop.request(), observer);
        loop.run_until([&] { return observer->is_over(); });
        return *observer;
    };
    CHECK(outcome("HTTP/1.1 200 OK\r\n\r\nall").ended);
    CHECK(outcome("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut").failure ==
          http::call_failure::broken_response);
    CHECK(outcome("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ncut\r\n").failure ==
          http::call_failure::broken_response);
    CHECK(outcome("garbage\r\n\r\n").failure == http::call_failure::no_response);
    CHECK(outcome("").failure == http::call_failure::no_response);
}

TEST_CASE("the response to a HEAD request ends with its head")
{
    // Guards against a client that waits for a body which never comes.
    loop_fixture f;
    f.handler.on_request = [](http::server_exchange& exchange) {
        exchange.respond({200, {}, {}}, "four");
    };
    http::request_head head{"HEAD", "/a", {}};
    head.headers.add("Host", "h");
    for (int i = 0; i < 2; ++i)
    {
        auto const observer = std::make_shared<recording_observer>();
        f.client.send(f.address,
                      std::make_shared<std::string const>(http::format_request(head, "")),
                      observer);
        f.run_until([&] { return observer->is_over(); });
        CHECK(observer->ended);
        CHECK(observer->body.empty());
        REQUIRE(observer->heads.size() == 1);
        CHECK(*observer->heads[0].headers.find("Content-Length") == "4");
    }
    CHECK(f.client.opened() == 1);
}

TEST_CASE("connections beyond the limit are refused with a status")
{
    // Guards against callers who see only a closed connection when an entry is full.
    loop_fixture f;
    auto const address = free_address();
    http::server small(
        f.context, {address, 0, "small", 1}, f.handler, [&f] { return f.limits; }, f.events,
        f.time);
    small.start();
    f.address = address;
    auto const answer = f.exchange_raw("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(f.handler.exchanges.empty());
    http::server closed(
        f.context, {free_address(), 0, "closed"}, f.handler, [&f] { return f.limits; }, f.events,
        f.time);
    closed.start();
    f.address = closed.address();
    CHECK(f.exchange_raw("GET /a HTTP/1.1\r\nHost: h\r\n\r\n").empty());
}
