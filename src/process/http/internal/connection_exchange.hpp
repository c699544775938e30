#ifndef LAGOONLADDER_HTTP_CONNECTION_EXCHANGE_HPP
#define LAGOONLADDER_HTTP_CONNECTION_EXCHANGE_HPP

#include "server_connection.hpp"

namespace lagoonladder::http
{

/// The exchange of one request. Releases its connection at the end of the response; later calls
/// have no effect.
class connection_exchange : public server_exchange
{
public:
    explicit connection_exchange(std::shared_ptr<server_connection> owner)
        : connection(std::move(owner))
        , request(connection->take_head())
        , request_body(connection->take_body())
        , memory(connection->take_memory())
        , arrival(connection->arrived())
        , remote_ip(connection->remote_address())
    {
    }

    request_head const& head() const override { return this->request; }
    std::string const& body() const override { return this->request_body; }
    time_point arrived() const override { return this->arrival; }
    bool may_be_abandoned(duration patience) const override
    {
        return !this->connection || this->connection->may_be_abandoned(patience);
    }
    std::string const& remote_address() const override { return this->remote_ip; }

    void respond(response_head response, std::string_view bytes) override
    {
        if (auto const released_connection = this->release_connection())
            released_connection->respond(std::move(response), bytes);
    }

    void begin(response_head response, std::optional<std::uint64_t> length) override
    {
        if (this->connection)
            this->connection->begin(std::move(response), length);
    }

    void write(std::string_view bytes) override
    {
        if (this->connection)
            this->connection->write(bytes);
    }

    void finish() override
    {
        if (auto const released_connection = this->release_connection())
            released_connection->finish();
    }

    void abort() override
    {
        if (auto const released_connection = this->release_connection())
            released_connection->close();
    }

    std::size_t unsent_bytes() const override
    {
        return this->connection ? this->connection->unsent_bytes() : 0;
    }

    void on_closed(std::function<void()> handler) override
    {
        if (this->connection)
            this->connection->closed_handler = std::move(handler);
    }

    void on_drained(std::function<void()> handler) override
    {
        if (this->connection)
            this->connection->drained_handler = std::move(handler);
    }

private:
    std::shared_ptr<server_connection> release_connection()
    {
        if (this->connection)
        {
            this->connection->closed_handler = {};
            this->connection->drained_handler = {};
        }
        return std::exchange(this->connection, nullptr);
    }

    std::shared_ptr<server_connection> connection;
    request_head const request;
    std::string const request_body;
    std::unique_ptr<request_memory::holding> const memory;
    time_point const arrival;
    std::string const remote_ip;
};

} // namespace lagoonladder::http

#endif
