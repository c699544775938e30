#include "relay.hpp"

#include <array>
#include <csignal>
#include <memory>

#include <asio.hpp>

#include "command.hpp"
#include "log_line.hpp"

namespace lagoonladder::fakes
{

namespace
{

using asio::ip::tcp;

tcp::endpoint parse_address(std::string const& text)
{
    auto const colon = text.rfind(':');
    return {asio::ip::make_address(text.substr(0, colon)),
            static_cast<unsigned short>(std::stoi(text.substr(colon + 1)))};
}

/// Forwards bytes between two sockets. A silent connection still reads, so that neither side
/// sees a closed connection or a full buffer, but forwards nothing.
class relayed_connection : public std::enable_shared_from_this<relayed_connection>
{
public:
    relayed_connection(tcp::socket initial_client, tcp::socket initial_target,
                       std::uint64_t const& current_epoch)
        : client_socket(std::move(initial_client))
        , target_socket(std::move(initial_target))
        , epoch(current_epoch)
        , opened_epoch(current_epoch)
    {
    }

    void start(tcp::endpoint const& to)
    {
        this->target_socket.async_connect(
            to,
            [self = this->shared_from_this()](auto const& problem)
            {
                if (problem)
                    return self->close();
                self->client_socket.set_option(tcp::no_delay(true));
                self->target_socket.set_option(tcp::no_delay(true));
                self->read(self->client_socket, self->target_socket, self->to_target_buffer);
                self->read(self->target_socket, self->client_socket, self->to_client_buffer);
            });
    }

private:
    using buffer = std::array<char, 16 * 1024>;

    void read(tcp::socket& from, tcp::socket& to, buffer& bytes)
    {
        from.async_read_some(asio::buffer(bytes),
                             [self = this->shared_from_this(), &from, &to,
                              &bytes](auto const& problem, std::size_t size)
                             {
                                 if (problem)
                                     return self->close();
                                 if (self->opened_epoch != self->epoch)
                                     return self->read(from, to, bytes);
                                 self->write(from, to, bytes, size);
                             });
    }

    void write(tcp::socket& from, tcp::socket& to, buffer& bytes, std::size_t size)
    {
        asio::async_write(
            to, asio::buffer(bytes.data(), size),
            [self = this->shared_from_this(), &from, &to, &bytes](auto const& problem, std::size_t)
            {
                if (problem)
                    return self->close();
                self->read(from, to, bytes);
            });
    }

    void close()
    {
        // A silent connection stays open when one side closes it, so that the other side gets no
        // notice.
        if (this->opened_epoch != this->epoch)
            return;
        asio::error_code ignored;
        this->client_socket.close(ignored);
        this->target_socket.close(ignored);
    }

    tcp::socket client_socket;
    tcp::socket target_socket;
    /// Current epoch of the relay; the connection is silent when it differs from opened_epoch.
    std::uint64_t const& epoch;
    std::uint64_t opened_epoch;
    buffer to_target_buffer{};
    buffer to_client_buffer{};
};

class tcp_relay
{
public:
    tcp_relay(std::string const& listen, std::string const& to)
        : acceptor(this->context, parse_address(listen))
        , target(parse_address(to))
        , silence_signal(this->context, SIGUSR1)
        , stop_signals(this->context, SIGTERM, SIGINT)
    {
    }

    int run()
    {
        this->accept();
        this->wait_for_silence();
        this->stop_signals.async_wait([this](auto const&, int) { this->context.stop(); });
        log_line("started");
        this->context.run();
        return 0;
    }

private:
    void accept()
    {
        this->acceptor.async_accept(
            [this](auto const& problem, tcp::socket socket)
            {
                if (!problem)
                    std::make_shared<relayed_connection>(std::move(socket),
                                                         tcp::socket(this->context), this->epoch)
                        ->start(this->target);
                this->accept();
            });
    }

    void wait_for_silence()
    {
        this->silence_signal.async_wait(
            [this](auto const&, int)
            {
                ++this->epoch;
                log_line("silent");
                this->wait_for_silence();
            });
    }

    asio::io_context context;
    tcp::acceptor acceptor;
    tcp::endpoint target;
    asio::signal_set silence_signal;
    asio::signal_set stop_signals;
    std::uint64_t epoch = 0;
};

} // namespace

int run_relay(int argc, char** argv)
{
    TCLAP::CmdLine command("TCP relay", ' ', "", false);
    TCLAP::ValueArg<std::string> listen("", "listen", "address to accept on", true, "", "HOST:PORT",
                                        command);
    TCLAP::ValueArg<std::string> to("", "to", "address to connect to", true, "", "HOST:PORT",
                                    command);
    if (!parse_or_print_help(command, argc, argv))
        return 0;
    // asio::signal_set does not receive the stop signals while main() keeps them blocked.
    sigset_t no_signals;
    sigemptyset(&no_signals);
    pthread_sigmask(SIG_SETMASK, &no_signals, nullptr);
    return tcp_relay(listen.getValue(), to.getValue()).run();
}

} // namespace lagoonladder::fakes
