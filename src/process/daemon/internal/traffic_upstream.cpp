#include <traffic_upstream.hpp>

#include <algorithm>

namespace lagoonladder::daemon
{

namespace
{

constexpr duration idle_timeout = seconds(10);

// A connect takes one round trip; 1 s allows for one lost packet of the handshake.
constexpr duration default_connect_timeout = milliseconds(1500);

std::unique_ptr<httplib::Client> connect_to(network_address const& address, bool keep_alive)
{
    auto const& text = address.value();
    auto const colon = text.rfind(':');
    auto const port = colon == std::string::npos ? 0 : std::atoi(text.c_str() + colon + 1);
    auto client = std::make_unique<httplib::Client>(text.substr(0, colon), port);
    client->set_keep_alive(keep_alive);
    client->set_tcp_nodelay(true);
    client->set_url_encode(false);
    client->set_decompress(false);
    client->set_connection_timeout(default_connect_timeout);
    return client;
}

upstream_result send(httplib::Client& client, httplib::Request& request,
                     httplib::Response& response)
{
    auto failure = httplib::Error::Success;
    if (client.send(request, response, failure))
        return upstream_result::complete;
    switch (failure)
    {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
        return upstream_result::not_connected;
    case httplib::Error::Canceled:
        return upstream_result::stopped;
    default:
        return upstream_result::broken;
    }
}

} // namespace

upstream_result upstream_connections::call(network_address const& address,
                                           duration progress_timeout, httplib::Request& request,
                                           httplib::Response& response)
{
    auto client = this->take(address);
    bool const pooled = client != nullptr;
    if (!pooled)
        client = connect_to(address, true);
    client->set_read_timeout(progress_timeout);
    client->set_write_timeout(progress_timeout);
    auto const started = this->time.now();
    auto result = send(*client, request, response);
    // A pooled connection that its endpoint closed fails before any answer and
    // well before the timeout; a silent one runs into the timeout.
    bool const was_closed = result == upstream_result::broken && response.status == -1 &&
                            this->time.now() - started < progress_timeout;
    if (pooled && was_closed)
    {
        client = connect_to(address, true);
        client->set_read_timeout(progress_timeout);
        client->set_write_timeout(progress_timeout);
        response = httplib::Response();
        result = send(*client, request, response);
    }
    if (result == upstream_result::complete)
        this->put_back(address, std::move(client));
    return result;
}

upstream_result upstream_connections::call_once(network_address const& address,
                                                duration connect_timeout, duration progress_timeout,
                                                httplib::Request& request,
                                                httplib::Response& response)
{
    auto const client = connect_to(address, false);
    client->set_connection_timeout(connect_timeout);
    client->set_read_timeout(progress_timeout);
    client->set_write_timeout(progress_timeout);
    return send(*client, request, response);
}

void upstream_connections::close_idle()
{
    auto const now = this->time.now();
    std::vector<idle_connection> closing;
    std::lock_guard const lock(this->mutex);
    for (auto known = this->idle.begin(); known != this->idle.end();)
    {
        auto& connections = known->second;
        auto const old = std::partition(connections.begin(), connections.end(),
                                        [now](auto const& connection)
                                        { return now - connection.since < idle_timeout; });
        std::move(old, connections.end(), std::back_inserter(closing));
        connections.erase(old, connections.end());
        known = connections.empty() ? this->idle.erase(known) : std::next(known);
    }
}

std::unique_ptr<httplib::Client> upstream_connections::take(network_address const& address)
{
    std::lock_guard const lock(this->mutex);
    auto const known = this->idle.find(address);
    if (known == this->idle.end() || known->second.empty())
        return nullptr;
    auto newest = std::move(known->second.back());
    known->second.pop_back();
    bool const usable = this->time.now() - newest.since < idle_timeout;
    return usable ? std::move(newest.client) : nullptr;
}

void upstream_connections::put_back(network_address const& address,
                                    std::unique_ptr<httplib::Client> client)
{
    if (!client->is_socket_open())
        return;
    std::lock_guard const lock(this->mutex);
    this->idle[address].push_back({std::move(client), this->time.now()});
}

} // namespace lagoonladder::daemon
