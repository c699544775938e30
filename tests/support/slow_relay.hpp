#ifndef LAGOONLADDER_TESTS_SLOW_RELAY_HPP
#define LAGOONLADDER_TESTS_SLOW_RELAY_HPP

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include <asio.hpp>

/// Bytes that a link carries in a second.
struct link_rate
{
    double bytes_per_second = 0;
};

inline link_rate megabits_per_second(double value)
{
    return {value * 1'000'000 / 8};
}

/// Passes TCP connections on to another address over a link that all of them share, with a
/// rate for each direction. Runs a thread of its own.
class slow_relay
{
public:
    using clock = std::chrono::steady_clock;

    /// `towards` is the rate to the target, `back` the rate of what the target sends.
    slow_relay(std::string const& listen, std::string const& target, link_rate towards,
               link_rate back)
        : acceptor(this->io, parse(listen))
        , destination(parse(target))
        , to_target{towards, {}, 0}
        , from_target{back, {}, 0}
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

    struct direction
    {
        link_rate rate;
        /// When the link has carried what was given to it.
        clock::time_point free_at;
        std::uint64_t bytes = 0;
    };

    /// One way of a relayed connection; what is not yet read waits at the sender.
    struct half : std::enable_shared_from_this<half>
    {
        half(asio::io_context& context, std::shared_ptr<tcp::socket> source,
             std::shared_ptr<tcp::socket> sink, direction& link)
            : from(std::move(source))
            , to(std::move(sink))
            , timer(context)
            , way(link)
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
            auto const seconds = static_cast<double>(size) / this->way.rate.bytes_per_second;
            auto const begin = std::max(this->way.free_at, clock::now());
            this->way.free_at = begin + std::chrono::duration_cast<clock::duration>(
                                            std::chrono::duration<double>(seconds));
            this->way.bytes += size;
            this->timer.expires_at(this->way.free_at);
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
        direction& way;
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
        auto const near = std::make_shared<tcp::socket>(this->io);
        this->acceptor.async_accept(*near,
                                    [this, near](auto const& problem)
                                    {
                                        if (problem)
                                            return;
                                        this->connect(near);
                                        this->accept();
                                    });
    }

    void connect(std::shared_ptr<tcp::socket> const& near)
    {
        auto const far = std::make_shared<tcp::socket>(this->io);
        far->async_connect(
            this->destination,
            [this, near, far](auto const& problem)
            {
                asio::error_code ignored;
                if (problem)
                {
                    near->close(ignored);
                    return;
                }
                near->set_option(tcp::no_delay(true), ignored);
                far->set_option(tcp::no_delay(true), ignored);
                std::make_shared<half>(this->io, near, far, this->to_target)->read();
                std::make_shared<half>(this->io, far, near, this->from_target)->read();
            });
    }

    asio::io_context io;
    tcp::acceptor acceptor;
    tcp::endpoint destination;
    direction to_target;
    direction from_target;
    std::thread thread;
};

#endif
