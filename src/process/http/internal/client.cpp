#include <lagoonladder/http/client.hpp>

#include <algorithm>
#include <set>

#include "client_connection.hpp"

namespace lagoonladder::http
{

char const* to_string(call_failure failure)
{
    switch (failure)
    {
    case call_failure::not_sent:
        return "not_sent";
    case call_failure::no_response:
        return "no_response";
    case call_failure::broken_response:
        return "broken_response";
    }
    return "unknown";
}

namespace
{

/// A call that uses a connection.
class connection_call : public client_call
{
public:
    connection_call(std::shared_ptr<client_connection> call_connection, bool reuses_connection)
        : connection(std::move(call_connection))
        , is_reused(reuses_connection)
    {
    }

    void cancel() override { this->connection->close(); }
    void pause() override { this->connection->pause(); }
    void resume() override { this->connection->resume(); }
    void drain(std::function<void()> done) override { this->connection->drain(std::move(done)); }
    bool may_have_sent() const override { return this->connection->may_have_sent(); }
    bool is_on_reused_connection() const override { return this->is_reused; }

private:
    std::shared_ptr<client_connection> connection;
    bool const is_reused;
};

/// A call that fails without a connection, since too many are open to its address.
class refused_call : public client_call
{
public:
    void cancel() override { this->is_cancelled = true; }
    void pause() override {}
    void resume() override {}
    void drain(std::function<void()>) override {}
    bool may_have_sent() const override { return false; }
    bool is_on_reused_connection() const override { return false; }

    bool is_cancelled = false;
};

} // namespace

class client::implementation : public connection_pool,
                               public std::enable_shared_from_this<client::implementation>
{
public:
    implementation(asio::io_context& event_loop, client_options const& settings,
                   clock const& clock_source)
        : context(event_loop)
        , options(settings)
        , time(clock_source)
    {
    }

    std::shared_ptr<client_call> send(network_address const& to,
                                      std::shared_ptr<std::string const> request,
                                      std::shared_ptr<response_observer> observer,
                                      std::size_t max_connections,
                                      std::shared_ptr<std::string const> body)
    {
        auto& connections = this->addresses[to];
        if (auto const reused = this->take_idle(connections))
        {
            reused->start(std::move(request), std::move(body), std::move(observer));
            reused->send_request();
            return std::make_shared<connection_call>(reused, true);
        }
        if (max_connections > 0 && connections.open >= max_connections)
            return this->refuse(observer);
        auto const connection = std::make_shared<client_connection>(
            this->context, to, this->options, this->time, this->weak_from_this());
        ++connections.open;
        ++this->opened_connections;
        connection->start(std::move(request), std::move(body), std::move(observer));
        connection->connect();
        return std::make_shared<connection_call>(connection, false);
    }

    void add_idle(std::shared_ptr<client_connection> const& connection) override
    {
        auto& idle = this->addresses[connection->address()].idle;
        idle.push_back(connection);
        if (idle.size() > this->options.max_idle_per_address)
        {
            auto const oldest = idle.front();
            oldest->close();
        }
    }

    void remove(client_connection const& connection) override
    {
        auto const found = this->addresses.find(connection.address());
        if (found == this->addresses.end())
            return;
        auto& connections = found->second;
        std::erase_if(connections.idle,
                      [&](auto const& idle) { return idle.get() == &connection; });
        if (--connections.open == 0)
            this->addresses.erase(found);
    }

    void close_idle_connections(network_address const& address)
    {
        auto const found = this->addresses.find(address);
        if (found == this->addresses.end())
            return;
        for (auto const& connection : std::vector(found->second.idle))
            connection->close();
    }

    void stop()
    {
        std::vector<network_address> open_addresses;
        for (auto const& [address, connections] : this->addresses)
            open_addresses.push_back(address);
        for (auto const& address : open_addresses)
            this->close_idle_connections(address);
    }

    std::size_t connections(network_address const& address) const
    {
        auto const found = this->addresses.find(address);
        return found == this->addresses.end() ? 0 : found->second.open;
    }

    std::uint64_t opened_connections = 0;

private:
    struct address_connections
    {
        std::size_t open = 0;
        /// Idle connections; the most recently used one is at the end.
        std::vector<std::shared_ptr<client_connection>> idle;
    };

    /// Removes and returns the most recently used idle connection; nullptr if there is none.
    std::shared_ptr<client_connection> take_idle(address_connections& connections)
    {
        auto const now = this->time.now();
        // Closes connections that are too old to be reused: the server is about to close them.
        std::vector<std::shared_ptr<client_connection>> expired;
        for (auto const& connection : connections.idle)
        {
            if (connection->reusable_until() <= now)
                expired.push_back(connection);
        }
        std::erase_if(connections.idle,
                      [&](auto const& idle) { return idle->reusable_until() <= now; });
        std::shared_ptr<client_connection> latest;
        if (!connections.idle.empty())
        {
            latest = connections.idle.back();
            connections.idle.pop_back();
        }
        // Prevents remove() from erasing `connections` when the last connection closes.
        ++connections.open;
        for (auto const& connection : expired)
            connection->close();
        --connections.open;
        return latest;
    }

    /// Reports the failure from the event loop, after the caller has received the call.
    std::shared_ptr<client_call> refuse(std::shared_ptr<response_observer> const& observer)
    {
        auto const call = std::make_shared<refused_call>();
        asio::post(this->context,
                   [call, observer]
                   {
                       if (!call->is_cancelled)
                           observer->on_failure(call_failure::not_sent,
                                                "too many connections to the address");
                   });
        return call;
    }

    asio::io_context& context;
    client_options const options;
    clock const& time;
    std::map<network_address, address_connections> addresses;
};

client::client(asio::io_context& context, client_options options, clock const& time)
    : state(std::make_shared<implementation>(context, options, time))
{
}

client::~client()
{
    this->state->stop();
}

std::shared_ptr<client_call> client::send(network_address const& to,
                                          std::shared_ptr<std::string const> request,
                                          std::shared_ptr<response_observer> observer,
                                          std::size_t max_connections,
                                          std::shared_ptr<std::string const> body)
{
    return this->state->send(to, std::move(request), std::move(observer), max_connections,
                             std::move(body));
}

void client::close_idle_connections(network_address const& address)
{
    this->state->close_idle_connections(address);
}

std::size_t client::connections(network_address const& address) const
{
    return this->state->connections(address);
}

std::uint64_t client::opened() const
{
    return this->state->opened_connections;
}

void client::stop()
{
    this->state->stop();
}

} // namespace lagoonladder::http
