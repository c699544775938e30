#ifndef LAGOONLADDER_TESTS_SLOW_RELAY_HPP
#define LAGOONLADDER_TESTS_SLOW_RELAY_HPP

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include <asio.hpp>

/// Transfer rate of a network link.
struct link_rate
{
    double bytes_per_second = 0;
};

inline link_rate megabits_per_second(double value)
{
    return {value * 1'000'000 / 8};
}

/// Forwards TCP connections to another address over a simulated link that all connections
/// share, with a rate limit for each direction. Runs on its own thread.
class slow_relay
{
public:
    using clock = std::chrono::steady_clock;

    /// `to_target_rate` limits the bytes sent to the target, `from_target_rate` those sent by it.
    slow_relay(std::string const& listen, std::string const& target, link_rate to_target_rate,
               link_rate from_target_rate)
        : acceptor(this->io, parse(listen))
        , destination(parse(target))
        , to_target{to_target_rate, {}, 0}
        , from_target{from_target_rate, {}, 0}
    {
        this->accept();
        this->thread = std::thread([this] { this->io.run(); });
    }

    ~slow_relay()
    {
        this->io.stop();
        this->thread.join();
    }

    slow_relay(slow_relay const&) = delete;
    slow_relay& operator=(slow_relay const&) = delete;

private:
    using tcp = asio::ip::tcp;

    struct link_direction
    {
        link_rate rate;
        /// Time at which the link has transferred all bytes queued so far.
        clock::time_point free_at;
        std::uint64_t bytes = 0;
    };

    /// One direction of a relayed connection. Bytes that are not yet read stay at the sender, so
    /// that the sender sees a slow link.
    struct one_way_transfer : std::enable_shared_from_this<one_way_transfer>
    {
        one_way_transfer(asio::io_context& context, std::shared_ptr<tcp::socket> source,
                         std::shared_ptr<tcp::socket> sink, link_direction& link)
            : from(std::move(source))
            , to(std::move(sink))
            , timer(context)
            , shared_link(link)
        {
        }

        void read()
        {
            this->from->async_read_some(
                asio::buffer(this->buffer),
                [self = this->shared_from_this()](auto const& problem, std::size_t size)
                {
                    if (problem)
                        return self->close();
                    self->delay(size);
                });
        }

        void delay(std::size_t size)
        {
            auto const seconds =
                static_cast<double>(size) / this->shared_link.rate.bytes_per_second;
            auto const begin = std::max(this->shared_link.free_at, clock::now());
            this->shared_link.free_at = begin + std::chrono::duration_cast<clock::duration>(
                                                    std::chrono::duration<double>(seconds));
            this->shared_link.bytes += size;
            this->timer.expires_at(this->shared_link.free_at);
            this->timer.async_wait([self = this->shared_from_this(), size](auto const&)
                                   { self->write(size); });
        }

        void write(std::size_t size)
        {
            asio::async_write(*this->to, asio::buffer(this->buffer.data(), size),
                              [self = this->shared_from_this()](auto const& problem, std::size_t)
                              {
                                  if (problem)
                                      return self->close();
                                  self->read();
                              });
        }

        void close()
        {
            asio::error_code ignored;
            this->from->close(ignored);
            this->to->close(ignored);
        }

        std::shared_ptr<tcp::socket> from;
        std::shared_ptr<tcp::socket> to;
        asio::steady_timer timer;
        link_direction& shared_link;
        std::array<char, 4096> buffer{};
    };

    static tcp::endpoint parse(std::string const& address)
    {
        auto const colon = address.rfind(':');
        return {asio::ip::make_address(address.substr(0, colon)),
                static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))};
    }

    void accept()
    {
        auto const client_socket = std::make_shared<tcp::socket>(this->io);
        this->acceptor.async_accept(*client_socket,
                                    [this, client_socket](auto const& problem)
                                    {
                                        if (problem)
                                            return;
                                        this->connect(client_socket);
                                        this->accept();
                                    });
    }

    void connect(std::shared_ptr<tcp::socket> const& client_socket)
    {
        auto const target_socket = std::make_shared<tcp::socket>(this->io);
        target_socket->async_connect(
            this->destination,
            [this, client_socket, target_socket](auto const& problem)
            {
                asio::error_code ignored;
                if (problem)
                {
                    client_socket->close(ignored);
                    return;
                }
                client_socket->set_option(tcp::no_delay(true), ignored);
                target_socket->set_option(tcp::no_delay(true), ignored);
                std::make_shared<one_way_transfer>(this->io, client_socket, target_socket,
                                                   this->to_target)
                    ->read();
                std::make_shared<one_way_transfer>(this->io, target_socket, client_socket,
                                                   this->from_target)
                    ->read();
            });
    }

    asio::io_context io;
    tcp::acceptor acceptor;
    tcp::endpoint destination;
    link_direction to_target;
    link_direction from_target;
    std::thread thread;
};

#endif
