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
        , request(connection->head())
        , content(connection->body())
        , arrival(connection->arrived())
        , remote(connection->remote_address())
    {
    }

    request_head const& head() const override { return this->request; }
    std::string const& body() const override { return this->content; }
    time_point arrived() const override { return this->arrival; }
    std::string const& remote_address() const override { return this->remote; }

    void respond(response_head answer, std::string_view bytes) override
    {
        if (auto const target = this->release_connection())
            target->respond(std::move(answer), bytes);
    }

    void begin(response_head answer, std::optional<std::uint64_t> length) override
    {
        if (this->connection)
            this->connection->begin(std::move(answer), length);
    }

    void write(std::string_view bytes) override
    {
        if (this->connection)
            this->connection->write(bytes);
    }

    void finish() override
    {
        if (auto const target = this->release_connection())
            target->finish();
    }

    void abort() override
    {
        if (auto const target = this->release_connection())
            target->close();
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
    std::string const content;
    time_point const arrival;
    std::string const remote;
};

} // namespace lagoonladder::http

#endif
