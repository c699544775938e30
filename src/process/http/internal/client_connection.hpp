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

/// Holds idle connections that may be reused.
class connection_pool
{
public:
    virtual ~connection_pool() = default;

    /// Adds an idle connection, which may be reused until its reusable_until().
    virtual void add_idle(std::shared_ptr<client_connection> const& connection) = 0;
    /// Removes a connection that has been closed.
    virtual void remove(client_connection const& connection) = 0;
};

/// A connection to a server, which carries one call at a time.
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    client_connection(asio::io_context& context, network_address to, client_options const& settings,
                      clock const& clock_source, std::weak_ptr<connection_pool> owning_pool);

    /// Sets the call that connect() or send_request() sends.
    void start(std::shared_ptr<std::string const> bytes, std::shared_ptr<std::string const> body,
               std::shared_ptr<response_observer> receiver);
    /// Opens the connection and then sends the request that was set by start().
    void connect();
    /// Sends the request that was set by start() on a connection that is already open.
    void send_request();

    void close();
    void pause();
    void resume();
    void drain(std::function<void()> done);
    bool may_have_sent() const { return this->has_started_sending; }

    network_address const& address() const { return this->target; }
    time_point reusable_until() const { return this->reuse_until; }
    bool is_open() const { return !this->is_closed; }

private:
    void on_connected(asio::error_code const& problem);
    void read();
    void on_read(asio::error_code const& problem, std::size_t count);
    void process_input();
    void on_connection_end(std::string const& reason);
    /// Creates the parser of the next response on the connection.
    void prepare_parser();
    void set_response_timer(duration delay, std::string const& reason);
    void on_message_end();
    /// Describes the limit that the current response exceeds, or its invalid status; empty if there
    /// is nothing wrong.
    std::string exceeded_limit() const;
    void fail(call_failure failure, std::string const& reason);
    /// The kind of a failure that happens now, by how far the call has progressed.
    call_failure current_failure() const;
    /// How long the connection may be reused after this response, by its Keep-Alive field.
    duration reuse_period_after(response_head const& head) const;

    asio::ip::tcp::socket socket;
    asio::steady_timer connect_timer;
    asio::steady_timer response_timer;
    network_address const target;
    client_options const& options;
    clock const& time;
    std::weak_ptr<connection_pool> pool;
    std::shared_ptr<std::string const> request;
    /// Sent after `request`; nullptr for none.
    std::shared_ptr<std::string const> request_body;
    std::shared_ptr<response_observer> observer;
    std::unique_ptr<response_parser> parser;
    std::array<char, 8192> read_buffer{};
    std::string input;
    time_point reuse_until{};
    duration reuse_period{};
    /// Bytes read for the current call before the head of its own response.
    std::size_t bytes_before_response = 0;
    /// Interim responses and responses to earlier requests, read for the current call.
    std::size_t skipped_responses = 0;
    /// Body bytes read since drain().
    std::size_t discarded_bytes = 0;
    bool is_head_request = false;
    bool is_connected = false;
    bool has_started_sending = false;
    bool has_sent_request = false;
    bool is_paused = false;
    bool is_reading = false;
    bool is_closed = false;
    bool has_response_head = false;
    bool is_skipping = false;
    /// The head of the response that is being read has a status that no response may have.
    bool has_invalid_status = false;
    bool is_parsing = false;
    bool is_draining = false;
};

} // namespace lagoonladder::http

#endif
