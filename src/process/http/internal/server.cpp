#include <lagoonladder/http/server.hpp>

#include <list>

#include "server_connection.hpp"
#include "socket_options.hpp"

namespace lagoonladder::http
{

namespace
{

constexpr duration accept_retry_delay = milliseconds(100);
constexpr std::size_t prune_interval = 64;

} // namespace

class server::implementation : public std::enable_shared_from_this<server::implementation>
{
public:
    implementation(asio::io_context& context, std::shared_ptr<server_context> common)
        : shared(std::move(common))
        , acceptor(context)
        , retry_timer(context)
    {
    }

    void start()
    {
        auto const endpoint = to_endpoint(this->shared->options.address);
        try
        {
            this->acceptor.open(endpoint.protocol());
            this->acceptor.set_option(asio::socket_base::reuse_address(true));
            this->acceptor.bind(endpoint);
            this->acceptor.listen();
        }
        catch (std::system_error const& problem)
        {
            throw http_error("cannot listen on " + this->shared->options.address.value() + " for " +
                             this->shared->options.name + ": " + problem.what());
        }
        this->accept();
    }

    void stop()
    {
        asio::error_code ignored;
        this->acceptor.close(ignored);
        this->retry_timer.cancel();
        for (auto const& known : std::exchange(this->connections, {}))
        {
            if (auto const connection = known.lock())
                connection->close();
        }
    }

    network_address address() const
    {
        auto const local = this->acceptor.local_endpoint();
        return network_address(local.address().to_string() + ":" + std::to_string(local.port()));
    }

    std::shared_ptr<server_context> shared;

private:
    void accept()
    {
        this->acceptor.async_accept(
            [self = this->shared_from_this()](asio::error_code const& problem,
                                              asio::ip::tcp::socket socket)
            {
                if (problem == asio::error::operation_aborted || !self->acceptor.is_open())
                    return;
                if (problem)
                    return self->accept_later(problem);
                self->add(std::move(socket));
                self->accept();
            });
    }

    /// Without descriptors, accepting again at once would take all of the processor.
    void accept_later(asio::error_code const& problem)
    {
        this->shared->events.emit(
            severity::warning, "http.accept_failed",
            {{"server", this->shared->options.name}, {"reason", problem.message()}});
        this->retry_timer.expires_after(accept_retry_delay);
        this->retry_timer.async_wait(
            [self = this->shared_from_this()](asio::error_code const& cancelled)
            {
                if (!cancelled)
                    self->accept();
            });
    }

    void add(asio::ip::tcp::socket socket)
    {
        auto const& options = this->shared->options;
        bool const is_over_limit = this->shared->open_connections >= options.max_connections;
        if (this->shared->open_connections >= options.max_connections + options.refused_connections)
        {
            this->shared->events.emit(
                severity::warning, "http.connection_refused",
                {{"server", this->shared->options.name}, {"reason", "too many connections"}});
            return;
        }
        auto const connection =
            std::make_shared<server_connection>(std::move(socket), this->shared, is_over_limit);
        if (this->connections.size() >= this->prune_at)
        {
            this->connections.remove_if([](auto const& known) { return known.expired(); });
            this->prune_at = this->connections.size() * 2 + prune_interval;
        }
        this->connections.push_back(connection);
        connection->start();
    }

    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer retry_timer;
    std::list<std::weak_ptr<server_connection>> connections;
    std::size_t prune_at = prune_interval;
};

server::server(asio::io_context& context, server_options options, request_handler& handler,
               std::function<connection_limits()> limits, event_sink& events, clock const& time)
    : state(std::make_shared<implementation>(
          context, std::make_shared<server_context>(server_context{
                       std::move(options), handler, std::move(limits), events, time})))
{
}

server::~server()
{
    this->state->stop();
}

void server::start()
{
    this->state->start();
}

network_address server::address() const
{
    return this->state->address();
}

void server::close_after_answers()
{
    this->state->shared->closes_after_answers = true;
}

void server::stop()
{
    this->state->stop();
}

std::size_t server::open_connections() const
{
    return this->state->shared->open_connections;
}

} // namespace lagoonladder::http
