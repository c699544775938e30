#include "http_service.hpp"

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <sys/socket.h>
#include <thread>

#include "connection_pool.hpp"
#include "log_line.hpp"

namespace lagoonladder::fakes
{

namespace
{

sigset_t stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void block_stop_signals()
{
    auto const signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

http_service::http_service(std::string initial_listen)
    : listen(std::move(initial_listen))
{
    this->server.new_task_queue = [this]
    { return new connection_pool([this] { this->faults.connection_opened(); }); };
    this->server.set_tcp_nodelay(true);
    // cpp-httplib sets SO_REUSEPORT, which lets two processes bind the same address without an
    // error.
    this->server.set_socket_options(
        [](int descriptor)
        {
            int const enabled = 1;
            setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
        });
    this->server.set_keep_alive_max_count(1'000'000);
    this->server.set_keep_alive_timeout(60);
    this->server.set_exception_handler(
        [](httplib::Request const&, httplib::Response& response, std::exception_ptr problem)
        {
            try
            {
                std::rethrow_exception(problem);
            }
            catch (std::exception const& reason)
            {
                answer_json(response, 400, {{"detail", reason.what()}});
            }
        });
    this->faults.install(this->server);
}

int http_service::run(std::function<void()> const& drain)
{
    auto const colon = this->listen.rfind(':');
    auto const host = this->listen.substr(0, colon);
    int const port = std::stoi(this->listen.substr(colon + 1));
    if (!this->server.bind_to_port(host, port))
    {
        log_line("listen.failed", {{"address", this->listen}});
        return 1;
    }
    std::thread([this] { this->server.listen_after_bind(); }).detach();
    log_line("started", {{"address", this->listen}});
    auto const signals = stop_signals();
    int stop_signal = 0;
    sigwait(&signals, &stop_signal);
    log_line("stopping", {{"signal", std::to_string(stop_signal)}});
    drain();
    log_line("stopped");
    // The threads cannot be joined, since connections that a fault made silent may never end.
    std::_Exit(0);
}

void answer_json(httplib::Response& response, int status, nlohmann::json const& body)
{
    response.status = status;
    response.set_content(body.dump(), "application/json");
}

void close_connection(httplib::Request const& request)
{
    // cpp-httplib does not pass the socket to handlers, so it is looked up by the peer's port.
    constexpr int descriptor_limit = 4096;
    for (int descriptor = 3; descriptor < descriptor_limit; ++descriptor)
    {
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size) == 0 &&
            ntohs(peer.sin_port) == request.remote_port)
            shutdown(descriptor, SHUT_RDWR);
    }
}

} // namespace lagoonladder::fakes
