#ifndef LAGOONLADDER_HTTP_TESTS_LOOP_FIXTURE_HPP
#define LAGOONLADDER_HTTP_TESTS_LOOP_FIXTURE_HPP

#include <catch2/catch.hpp>

#include <lagoonladder/http.hpp>

#include "free_port.hpp"

namespace lagoonladder
{

/// Records the exchanges, so that the test can respond to them.
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

/// Records a response. Skips responses whose Id field is not the expected one.
class recording_observer : public http::response_observer
{
public:
    http::head_action on_head(http::response_head const& head) override
    {
        this->heads.push_back(head);
        auto const* response_id = head.headers.find("Id");
        bool const is_other_response = response_id != nullptr && *response_id != this->expected_id;
        return is_other_response ? http::head_action::skip : http::head_action::accept;
    }

    void on_body(std::string_view bytes) override { this->body += bytes; }
    void on_end() override { this->has_ended = true; }

    void on_failure(http::call_failure kind, std::string const& failure_reason) override
    {
        this->failure = kind;
        this->reason = failure_reason;
    }

    bool is_over() const { return this->has_ended || this->failure; }

    std::string expected_id = "1";
    std::vector<http::response_head> heads;
    std::string body;
    bool has_ended = false;
    std::optional<http::call_failure> failure;
    std::string reason;
};

/// A server and a client on one event loop.
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

    /// Runs the event loop until the condition holds. Fails the test after two seconds.
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

    /// Sends raw bytes and returns everything received until the server closes the connection.
    std::string exchange_raw(std::string const& bytes)
    {
        asio::ip::tcp::socket socket(context);
        auto const text = address.value();
        auto const port = static_cast<std::uint16_t>(std::stoi(text.substr(text.find(':') + 1)));
        socket.connect({asio::ip::make_address("127.0.0.1"), port});
        asio::write(socket, asio::buffer(bytes));
        std::string received;
        bool is_closed = false;
        std::array<char, 4096> chunk{};
        std::function<void()> read = [&]
        {
            socket.async_read_some(asio::buffer(chunk),
                                   [&](asio::error_code const& problem, std::size_t count)
                                   {
                                       received.append(chunk.data(), count);
                                       is_closed = bool(problem);
                                       if (!problem)
                                           read();
                                   });
        };
        read();
        run_until([&] { return is_closed; });
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

} // namespace lagoonladder

#endif
