#include <traffic_listener.hpp>

#include <traffic_connection_threads.hpp>
#include <traffic_http.hpp>

namespace lagoonladder::daemon
{

namespace
{

// The library's own backlog of 5 lets the kernel drop connection attempts of a
// burst, which callers then repeat after a second.
constexpr int listen_backlog = 1024;

constexpr std::size_t max_header_bytes = 8192;

constexpr std::size_t max_requests_per_connection = 1'000'000;

constexpr seconds socket_timeout{5};

std::size_t header_bytes(httplib::Request const& request)
{
    std::size_t total = 0;
    for (auto const& [name, value] : request.headers)
        total += name.size() + value.size() + 4;
    return total;
}

problem status_problem(httplib::Request const& request, httplib::Response const& response)
{
    problem refused;
    refused.status = response.status;
    refused.request_id = response.get_header_value("X-Request-Id");
    switch (response.status)
    {
    case 404:
        refused.type = "not-found";
        refused.detail = "no such path: " + request.path;
        break;
    case 413:
        refused.type = "body-too-large";
        refused.detail = "the body exceeds the limit of this entry";
        break;
    case 414:
        refused.type = "uri-too-long";
        refused.detail = "the request line exceeds the limit of this entry";
        break;
    default:
        refused.type = "bad-request";
        refused.detail = "the request could not be read";
    }
    return refused;
}

} // namespace

class traffic_listener::http_server : public httplib::Server
{
public:
    void widen_backlog() { ::listen(this->svr_sock_, listen_backlog); }
};

traffic_listener::traffic_listener(traffic_context& shared)
    : context(shared)
    , server(std::make_unique<http_server>())
{
    this->set_limits();
    this->set_error_answers();
}

traffic_listener::~traffic_listener()
{
    this->stop();
}

void traffic_listener::add(route_module& module)
{
    module.register_routes(*this->server);
}

void traffic_listener::set_limits()
{
    auto const connections = this->context.config.max_connections;
    this->server->new_task_queue = [connections] { return new connection_threads(connections); };
    this->server->set_payload_max_length(this->context.config.max_body_bytes);
    this->server->set_keep_alive_max_count(max_requests_per_connection);
    this->server->set_tcp_nodelay(true);
    this->server->set_read_timeout(socket_timeout);
    this->server->set_write_timeout(socket_timeout);
    // The library's default is SO_REUSEPORT, with which a second process could
    // bind the same port without an error and take half of the connections.
    this->server->set_socket_options(
        [](socket_t socket)
        {
            int const yes = 1;
            ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        });
}

void traffic_listener::set_error_answers()
{
    auto& shared = this->context;
    this->server->set_pre_routing_handler(
        [&shared](httplib::Request const& request, httplib::Response& response)
        {
            problem refused{503, "too-many-connections", "this entry has no free connection"};
            if (!worker_threads::is_over_limit())
            {
                if (header_bytes(request) <= max_header_bytes)
                    return httplib::Server::HandlerResponse::Unhandled;
                refused = {431, "headers-too-large", "the headers exceed 8 KiB"};
            }
            // The body was not read, so the connection cannot carry another request.
            response.set_header("Connection", "close");
            send_refusal(shared, request, response, refused);
            return httplib::Server::HandlerResponse::Handled;
        });
    this->server->set_error_handler(
        [&shared](httplib::Request const& request, httplib::Response& response)
        {
            if (response.body.empty() && !response.has_header("X-Request-Id"))
                send_refusal(shared, request, response, status_problem(request, response));
        });
}

void traffic_listener::start()
{
    auto const& text = this->context.config.http.value();
    auto const colon = text.rfind(':');
    auto const host = text.substr(0, colon);
    int port = std::stoi(text.substr(colon + 1));
    if (port == 0)
        port = this->server->bind_to_any_port(host);
    else if (!this->server->bind_to_port(host, port))
        port = -1;
    if (port <= 0)
        throw daemon_error("HTTP address " + text + " cannot be bound; is the port in use?");
    this->bound = network_address(host + ":" + std::to_string(port));
    this->server->widen_backlog();
    this->acceptor = std::thread([this] { this->server->listen_after_bind(); });
    while (!this->server->is_running())
        std::this_thread::sleep_for(milliseconds(1));
}

void traffic_listener::stop()
{
    if (!this->acceptor.joinable())
        return;
    this->server->stop();
    this->acceptor.join();
}

} // namespace lagoonladder::daemon
