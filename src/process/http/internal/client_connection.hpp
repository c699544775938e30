#ifndef LAGOONLADDER_HTTP_CLIENT_CONNECTION_HPP
#define LAGOONLADDER_HTTP_CLIENT_CONNECTION_HPP

#include <array>
#include <memory>
#include <optional>
#include <string>

#include <asio.hpp>

#include <lagoonladder/http/client.hpp>

#include "message_parser.hpp"

namespace lagoonladder::http
{

class client_connection;

/// Keeps connections that may be used again.
class connection_keeper
{
public:
    virtual ~connection_keeper() = default;

    /// The connection is idle and may be used until `reusable_until`.
    virtual void keep(std::shared_ptr<client_connection> const& connection) = 0;
    /// The connection has ended.
    virtual void dropped(client_connection const& connection) = 0;
};

/// One connection to a server; carries one call at a time.
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    client_connection(asio::io_context& context, network_address to, client_options const& settings,
                      clock const& clock_source, std::weak_ptr<connection_keeper> owner);

    void start(std::shared_ptr<std::string const> bytes,
               std::shared_ptr<response_observer> receiver);
    /// Opens the connection and sends the call that start() has set.
    void connect();
    /// Sends the call that start() has set on a kept connection.
    void send_request();

    void close();
    void pause();
    void resume();
    void drain(std::function<void()> done);
    bool may_have_sent() const { return this->is_sending; }

    network_address const& address() const { return this->target; }
    time_point reusable_until() const { return this->reuse_until; }
    bool is_open() const { return !this->is_closed; }

private:
    void on_connected(asio::error_code const& problem);
    void read();
    void on_read(asio::error_code const& problem, std::size_t count);
    void take_input();
    void on_connection_end(std::string const& reason);
    void begin_response();
    void set_response_timer(duration span, std::string const& reason);
    void on_message_end();
    /// What the bytes of the present call exceed; empty when they are within bounds.
    std::string excess() const;
    void fail(call_failure failure, std::string const& reason);
    call_failure failure_now() const;
    duration idle_time(response_head const& head) const;

    asio::ip::tcp::socket socket;
    asio::steady_timer connect_timer;
    asio::steady_timer response_timer;
    network_address const target;
    client_options const& options;
    clock const& time;
    std::weak_ptr<connection_keeper> keeper;
    std::shared_ptr<std::string const> request;
    std::shared_ptr<response_observer> observer;
    std::unique_ptr<response_parser> parser;
    std::array<char, 8192> chunk{};
    std::string input;
    time_point reuse_until{};
    duration stated_idle_time{};
    /// Bytes and heads read for the call before the head of its own response.
    std::size_t bytes_before_response = 0;
    std::size_t skipped_heads = 0;
    std::size_t drained_bytes = 0;
    bool is_head_request = false;
    bool is_connected = false;
    bool is_sending = false;
    bool is_sent = false;
    bool is_paused = false;
    bool reads = false;
    bool is_closed = false;
    bool has_response = false;
    bool skips = false;
    bool is_parsing = false;
    bool is_draining = false;
};

} // namespace lagoonladder::http

#endif
