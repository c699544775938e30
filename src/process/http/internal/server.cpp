#include <lagoonladder/http/server.hpp>

#include <atomic>
#include <list>

#include "server_connection.hpp"
#include "socket_options.hpp"

namespace lagoonladder::http
{

namespace
{

constexpr duration accept_retry_delay = milliseconds(100);
/// Closed connections are removed from the list when its size reaches twice the size that the last
/// removal left, plus this number.
constexpr std::size_t prune_margin = 64;
/// Interval of the checks in a drain; short compared with the duration of a planned stop.
constexpr duration drain_check_interval = milliseconds(20);

/// At the limit of connections, one that has received no byte of a request for this long may be
/// closed for a new one.
constexpr duration min_wait_of_closed = seconds(1);
/// Pause after a search of all connections that found none to close.
constexpr duration search_pause = milliseconds(100);

std::shared_ptr<server_context> make_context(server_context values)
{
    if (!values.options.memory)
        values.options.memory = std::make_shared<request_memory>();
    return std::make_shared<server_context>(std::move(values));
}

} // namespace

class server::implementation : public std::enable_shared_from_this<server::implementation>
{
public:
    implementation(asio::io_context& context, std::shared_ptr<server_context> initial_context)
        : shared_context(std::move(initial_context))
        , acceptor(context)
        , retry_timer(context)
        , drain_timer(context)
    {
    }

    void start()
    {
        auto const endpoint = to_endpoint(this->shared_context->options.address);
        try
        {
            this->acceptor.open(endpoint.protocol());
            this->acceptor.set_option(asio::socket_base::reuse_address(true));
            // Accepted connections inherit the sizes. The window scale is fixed when a connection
            // is established, so they are set before listening.
            auto const buffer_bytes =
                static_cast<int>(this->shared_context->options.socket_buffer_bytes);
            this->acceptor.set_option(asio::socket_base::receive_buffer_size(buffer_bytes));
            this->acceptor.set_option(asio::socket_base::send_buffer_size(buffer_bytes));
            this->acceptor.bind(endpoint);
            this->acceptor.listen();
        }
        catch (std::system_error const& problem)
        {
            throw http_error("cannot listen on " + this->shared_context->options.address.value() +
                             " for " + this->shared_context->options.name + ": " + problem.what());
        }
        this->accept();
    }

    void stop()
    {
        asio::error_code ignored;
        this->acceptor.close(ignored);
        this->retry_timer.cancel();
        this->drain_timer.cancel();
        auto const busy_count =
            this->count_if([](server_connection& connection) { return connection.is_busy(); });
        if (busy_count > 0)
            this->shared_context->events.emit(severity::warning, "http.connections_cut",
                                              {{"server", this->shared_context->options.name},
                                               {"connections", std::to_string(busy_count)}});
        for (auto const& weak_connection : std::exchange(this->connections, {}))
        {
            if (auto const connection = weak_connection.lock())
                connection->close();
        }
    }

    void drain()
    {
        if (std::exchange(this->shared_context->refuses_requests, true))
            return;
        this->shared_context->closes_after_responses = true;
        this->accept_pending_connections();
        asio::error_code ignored;
        this->acceptor.close(ignored);
        this->retry_timer.cancel();
        this->for_each_connection([](server_connection& connection) { connection.close_idle(); });
        auto const busy_count =
            this->count_if([](server_connection& connection) { return connection.is_busy(); });
        this->shared_context->events.emit(severity::info, "http.draining",
                                          {{"server", this->shared_context->options.name},
                                           {"open_requests", std::to_string(busy_count)}});
        this->check_drained();
    }

    void refuse_incomplete()
    {
        this->for_each_connection([](server_connection& connection)
                                  { connection.refuse_incomplete(); });
    }

    bool is_drained() const { return this->has_drained; }

    network_address address() const
    {
        auto const local = this->acceptor.local_endpoint();
        return network_address(local.address().to_string() + ":" + std::to_string(local.port()));
    }

    std::shared_ptr<server_context> shared_context;

private:
    void accept()
    {
        this->acceptor.async_accept(
            [self = this->shared_from_this()](asio::error_code const& problem,
                                              asio::ip::tcp::socket socket)
            {
                // In a drain, a connection may have been accepted just before the acceptor was
                // closed.
                bool const is_stopped =
                    !self->acceptor.is_open() && !self->shared_context->refuses_requests;
                if (problem == asio::error::operation_aborted || is_stopped)
                    return;
                if (problem)
                    return self->schedule_accept(problem);
                self->add(std::move(socket));
                if (self->acceptor.is_open())
                    self->accept();
            });
    }

    /// Accepts the connections in the backlog, which closing the acceptor would reset.
    void accept_pending_connections()
    {
        asio::error_code problem;
        if (!this->acceptor.is_open() || this->acceptor.non_blocking(true, problem))
            return;
        while (!problem)
        {
            asio::ip::tcp::socket socket(this->acceptor.get_executor());
            this->acceptor.accept(socket, problem);
            if (!problem)
                this->add(std::move(socket));
        }
    }

    /// Checks again at intervals until all connections are closed. As no connection is accepted any
    /// more, the result does not change afterwards.
    void check_drained()
    {
        if (this->count_if([](server_connection& connection) { return !connection.is_closed(); }) ==
            0)
        {
            this->shared_context->events.emit(severity::info, "http.drained",
                                              {{"server", this->shared_context->options.name}});
            this->has_drained = true;
            return;
        }
        this->drain_timer.expires_after(drain_check_interval);
        this->drain_timer.async_wait(
            [self = this->shared_from_this()](asio::error_code const& cancelled)
            {
                if (!cancelled)
                    self->check_drained();
            });
    }

    template <class Condition>
    std::size_t count_if(Condition const& condition)
    {
        std::size_t count = 0;
        this->for_each_connection([&](server_connection& connection)
                                  { count += condition(connection) ? 1 : 0; });
        return count;
    }

    template <class Action>
    void for_each_connection(Action const& act)
    {
        // Iterates over a copy, since an action may end a call and so change the list.
        for (auto const& weak_connection : std::list(this->connections))
        {
            if (auto const connection = weak_connection.lock())
                act(*connection);
        }
    }

    /// Accepts again after a delay. When no file descriptors are left, accepting again at once
    /// would busy-loop.
    void schedule_accept(asio::error_code const& problem)
    {
        this->shared_context->events.emit(
            severity::warning, "http.accept_failed",
            {{"server", this->shared_context->options.name}, {"reason", problem.message()}});
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
        auto const& options = this->shared_context->options;
        if (this->shared_context->open_connections >= options.max_connections)
            this->close_waiting_connection();
        bool const is_over_limit =
            this->shared_context->open_connections >= options.max_connections;
        if (this->shared_context->open_connections >=
            options.max_connections + options.max_refused_connections)
        {
            this->shared_context->events.emit(severity::warning, "http.connection_refused",
                                              {{"server", this->shared_context->options.name},
                                               {"reason", "too many connections"}});
            return;
        }
        auto const connection = std::make_shared<server_connection>(
            std::move(socket), this->shared_context, is_over_limit);
        if (this->connections.size() >= this->prune_threshold)
        {
            this->connections.remove_if([](auto const& weak_connection)
                                        { return weak_connection.expired(); });
            this->prune_threshold = this->connections.size() * 2 + prune_margin;
        }
        this->connections.push_back(connection);
        connection->start();
        if (this->shared_context->refuses_requests)
            connection->close_idle();
    }

    /// Closes the connection that has waited longest for bytes of a request, so that callers who
    /// only keep connections open do not keep others out.
    void close_waiting_connection()
    {
        auto const now = this->shared_context->time.now();
        if (now < this->next_search)
            return;
        std::shared_ptr<server_connection> longest;
        for (auto const& weak_connection : this->connections)
        {
            auto const connection = weak_connection.lock();
            auto const since = connection ? connection->waiting_since() : std::nullopt;
            bool const is_late = since && now >= *since + min_wait_of_closed;
            if (is_late && (!longest || *since < *longest->waiting_since()))
                longest = connection;
        }
        if (!longest)
        {
            this->next_search = now + search_pause;
            return;
        }
        this->shared_context->events.emit(
            severity::warning, "http.connection_closed",
            {{"server", this->shared_context->options.name},
             {"reason", "too many connections, and no byte was received for a long time"}});
        longest->give_way();
    }

    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer retry_timer;
    asio::steady_timer drain_timer;
    std::atomic<bool> has_drained = false;
    std::list<std::weak_ptr<server_connection>> connections;
    std::size_t prune_threshold = prune_margin;
    /// No connection that may give way to others is searched for before this time.
    time_point next_search{};
};

server::server(asio::io_context& context, server_options options, request_handler& handler,
               std::function<connection_limits()> limits, event_sink& events, clock const& time)
    : state(std::make_shared<implementation>(
          context, make_context(server_context{std::move(options), handler, std::move(limits),
                                               events, time})))
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
    this->state->shared_context->closes_after_responses = true;
}

void server::drain()
{
    this->state->drain();
}

void server::refuse_incomplete()
{
    this->state->refuse_incomplete();
}

bool server::is_drained() const
{
    return this->state->is_drained();
}

void server::stop()
{
    this->state->stop();
}

std::size_t server::open_connections() const
{
    return this->state->shared_context->open_connections;
}

} // namespace lagoonladder::http
