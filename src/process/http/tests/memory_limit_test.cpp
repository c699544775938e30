#include <sys/ioctl.h>

#include "loop_fixture.hpp"

using namespace lagoonladder;

namespace
{

constexpr std::size_t mib = 1024 * 1024;

/// A caller that sends raw bytes and may leave the response unread.
class raw_caller
{
public:
    raw_caller(asio::io_context& context, network_address const& address)
        : socket(context)
    {
        auto const text = address.value();
        auto const port = static_cast<std::uint16_t>(std::stoi(text.substr(text.find(':') + 1)));
        this->socket.connect({asio::ip::make_address("127.0.0.1"), port});
    }

    void send(std::string bytes)
    {
        this->output = std::move(bytes);
        asio::async_write(this->socket, asio::buffer(this->output),
                          [this](asio::error_code const&, std::size_t) { this->is_sent = true; });
    }

    /// Whether the kernel of the receiver has all bytes that were sent.
    bool is_received()
    {
        int unacknowledged = 0;
        ::ioctl(this->socket.native_handle(), TIOCOUTQ, &unacknowledged);
        return this->is_sent && unacknowledged == 0;
    }

    void read()
    {
        this->socket.async_read_some(asio::buffer(this->chunk),
                                     [this](asio::error_code const& problem, std::size_t count)
                                     {
                                         this->received.append(this->chunk.data(), count);
                                         this->is_closed = bool(problem);
                                         if (!problem)
                                             this->read();
                                     });
    }

    asio::ip::tcp::socket socket;
    std::string output;
    std::array<char, 4096> chunk{};
    std::string received;
    bool is_sent = false;
    bool is_closed = false;
};

/// A server with a small budget.
struct limited_server
{
    explicit limited_server(std::size_t limit)
        : memory(std::make_shared<http::request_memory>(limit))
        , server(
              loop.context, make_options(), loop.handler, [this] { return loop.limits; },
              loop.events, loop.time)
    {
        loop.handler.on_request = [](http::server_exchange& exchange) {
            exchange.respond({200, {}, {}}, std::to_string(exchange.body().size()));
        };
        server.start();
    }

    ~limited_server() { server.stop(); }

    http::server_options make_options() const
    {
        http::server_options options{free_address(), 100, "limited"};
        options.memory = memory;
        return options;
    }

    raw_caller& call(std::string const& bytes)
    {
        callers.push_back(std::make_unique<raw_caller>(loop.context, server.address()));
        callers.back()->send(bytes);
        return *callers.back();
    }

    /// Sends a request and returns the response as text.
    std::string exchange(std::string const& bytes)
    {
        auto& caller = this->call(bytes);
        caller.read();
        loop.run_until([&] { return caller.is_closed; });
        return caller.received;
    }

    /// Runs until the server has read all bytes of the caller.
    void read_all_of(raw_caller& caller)
    {
        loop.run_until([&] { return caller.is_received(); });
        loop.context.restart();
        while (loop.context.poll() > 0)
            ;
    }

    loop_fixture loop;
    std::shared_ptr<http::request_memory> memory;
    http::server server;
    std::vector<std::unique_ptr<raw_caller>> callers;
};

std::string post(std::size_t length, std::size_t sent)
{
    return "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " +
           std::to_string(length) + "\r\n\r\n" + std::string(sent, 'x');
}

} // namespace

TEST_CASE("large bodies that stop short of their end are refused for others")
{
    // Guards against a crowd of callers whose bodies together take up the memory of the machine.
    limited_server limited(2 * mib);
    auto& first = limited.call(post(mib, mib - 1));
    first.read();
    limited.loop.run_until([&] { return limited.memory->used() > mib; });
    auto const refused = limited.exchange(post(mib, 1000));
    CHECK(refused.starts_with("HTTP/1.1 503"));
    CHECK(refused.find("Retry-After: ") != std::string::npos);
    CHECK(limited.exchange(post(1000, 1000)).starts_with("HTTP/1.1 200"));
    CHECK(first.received.empty());
    limited.loop.context.run_for(std::chrono::milliseconds(1'100));
    CHECK(limited.exchange(post(mib, mib)).starts_with("HTTP/1.1 200"));
    CHECK(first.received.starts_with("HTTP/1.1 503"));
    limited.loop.handler.exchanges.clear();
    limited.loop.run_until([&] { return limited.memory->used() == 0; });
}

TEST_CASE("chunked bodies and heads of many fields count towards the memory")
{
    // Guards against requests whose size is not known before they have arrived.
    limited_server limited(2 * mib);
    auto const chunk = "40000\r\n" + std::string(256 * 1024, 'x') + "\r\n";
    std::string const head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n";
    auto& first = limited.call(head + "\r\n" + chunk + chunk + chunk + chunk);
    // The capacity of a buffer exceeds its bytes, so that its size does not show that all arrived.
    limited.read_all_of(first);
    CHECK(limited.memory->used() > mib);
    CHECK(limited.exchange(head + "\r\n" + chunk + chunk + chunk).starts_with("HTTP/1.1 503"));
    std::string fields;
    for (int i = 0; i < 3'000; ++i)
        fields += "a:\r\n";
    limited.call(head + fields + "\r\n");
    limited.loop.run_until([&] { return limited.memory->used() > mib + 150 * 1024; });
}

TEST_CASE("a chunked body that fits into the memory is not refused for the growth of its buffer")
{
    // Guards against buffers that grow beyond the body and then exceed what is left.
    limited_server limited(2 * mib);
    limited.call(post(mib, mib - 1));
    limited.loop.run_until([&] { return limited.memory->used() > mib; });
    auto const size = std::size_t{500} * 1024;
    auto const response = limited.exchange("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                                           "Transfer-Encoding: chunked\r\n\r\n7d000\r\n" +
                                           std::string(size, 'x') + "\r\n0\r\n\r\n");
    CHECK(response.starts_with("HTTP/1.1 200"));
}

TEST_CASE("connections whose callers read nothing are closed at the limit")
{
    // Guards against responses that fill the memory since their callers do not read them.
    limited_server limited(2 * mib);
    std::string const large(mib, 'y');
    limited.loop.handler.on_request = [&](http::server_exchange& exchange) {
        exchange.respond({200, {}, {}}, large);
    };
    for (int i = 0; i < 6; ++i)
        limited.call(post(1, 1));
    limited.loop.run_until([&] { return limited.loop.handler.exchanges.size() == 6; });
    limited.loop.run_until([&] { return limited.server.open_connections() <= 2; });
    CHECK(limited.memory->used() <= 2 * mib);
}

TEST_CASE("requests arrive whole however their bytes are divided")
{
    // Guards against bytes that are lost or repeated between the read buffer and the parser.
    limited_server limited(2 * mib);
    std::vector<std::string> bodies;
    limited.loop.handler.on_request = [&](http::server_exchange& exchange)
    {
        bodies.push_back(exchange.body());
        exchange.respond({200, {}, {}}, "");
    };
    std::string const requests = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nfirst"
                                 "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                                 "3\r\nsec\r\n3\r\nond\r\n0\r\n\r\n"
                                 "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nthird";
    for (std::size_t size : {1U, 7U, 50U, 70U, 1000U})
    {
        bodies.clear();
        auto& caller = limited.call("");
        for (std::size_t start = 0; start < requests.size(); start += size)
        {
            asio::write(caller.socket, asio::buffer(requests.substr(start, size)));
            limited.loop.context.restart();
            limited.loop.context.run_for(std::chrono::microseconds(300));
        }
        limited.loop.run_until([&] { return bodies.size() == 3; });
        CHECK(bodies == std::vector<std::string>{"first", "second", "third"});
    }
}

TEST_CASE("connections without requests give way to others at the limit")
{
    // Guards against callers that keep others out by connections on which they send nothing.
    loop_fixture loop;
    loop.handler.on_request = [](http::server_exchange& exchange) {
        exchange.respond({200, {}, {}}, "answer");
    };
    http::server server(
        loop.context, {free_address(), 2, "small"}, loop.handler, [&] { return loop.limits; },
        loop.events, loop.time);
    server.start();
    raw_caller silent(loop.context, server.address());
    raw_caller partial(loop.context, server.address());
    partial.send(post(10, 9));
    loop.run_until([&] { return server.open_connections() == 2; });
    loop.address = server.address();
    CHECK(loop.exchange_raw(post(1, 1)).empty());
    loop.context.run_for(std::chrono::milliseconds(1'100));
    CHECK(loop.exchange_raw(post(1, 1)).starts_with("HTTP/1.1 200"));
    server.stop();
}
