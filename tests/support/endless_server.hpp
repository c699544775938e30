#ifndef LAGOONLADDER_TESTS_SUPPORT_ENDLESS_SERVER_HPP
#define LAGOONLADDER_TESTS_SUPPORT_ENDLESS_SERVER_HPP

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <malloc.h>
#include <memory>
#include <string>

#include <asio.hpp>

#include <lagoonladder/http.hpp>

namespace lagoonladder
{

/// A server that answers each request with a beginning and then with the same bytes again and
/// again, until its peer closes the connection.
class endless_server
{
public:
    using text_of_request = std::function<std::string(std::string const& request)>;

    /// `pause` lies between two repetitions; they are sent back to back without one.
    endless_server(asio::io_context& io, text_of_request first, std::string again,
                   duration between = duration(0))
        : beginning(std::move(first))
        , unit(std::move(again))
        , pause(between)
        , acceptor(io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        this->accept();
    }

    endless_server(asio::io_context& io, std::string const& first, std::string again,
                   duration between = duration(0))
        : endless_server(
              io, [first](std::string const&) { return first; }, std::move(again), between)
    {
    }

    network_address address() const
    {
        return network_address("127.0.0.1:" +
                               std::to_string(this->acceptor.local_endpoint().port()));
    }

    /// Bytes that the heap of the process has gained since the first request.
    std::size_t heap_growth() const { return this->most_heap - this->first_heap; }

    int requests = 0;
    int closed_by_peer = 0;
    std::uint64_t sent_bytes = 0;

private:
    struct peer
    {
        explicit peer(asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
            , timer(socket.get_executor())
        {
        }

        asio::ip::tcp::socket socket;
        asio::steady_timer timer;
        std::array<char, 4096> chunk{};
        std::string input;
        std::string output;
    };

    static std::size_t used_heap() { return mallinfo2().uordblks; }

    void accept()
    {
        this->acceptor.async_accept(
            [this](asio::error_code const& problem, asio::ip::tcp::socket socket)
            {
                if (problem)
                    return;
                this->read(std::make_shared<peer>(std::move(socket)));
                this->accept();
            });
    }

    /// The requests of the tests have no body.
    void read(std::shared_ptr<peer> const& one)
    {
        one->socket.async_read_some(asio::buffer(one->chunk),
                                    [this, one](asio::error_code const& problem, std::size_t count)
                                    {
                                        if (problem)
                                            return;
                                        one->input.append(one->chunk.data(), count);
                                        if (one->input.find("\r\n\r\n") == std::string::npos)
                                            return this->read(one);
                                        if (this->requests++ == 0)
                                            this->first_heap = used_heap();
                                        this->most_heap =
                                            std::max(this->most_heap, this->first_heap);
                                        one->output = this->beginning(one->input);
                                        this->write(one);
                                    });
    }

    void write(std::shared_ptr<peer> const& one)
    {
        asio::async_write(one->socket, asio::buffer(one->output),
                          [this, one](asio::error_code const& problem, std::size_t count)
                          {
                              this->sent_bytes += count;
                              this->most_heap = std::max(this->most_heap, used_heap());
                              if (problem)
                              {
                                  ++this->closed_by_peer;
                                  return;
                              }
                              one->output = this->unit;
                              one->timer.expires_after(this->pause);
                              one->timer.async_wait(
                                  [this, one](asio::error_code const& cancelled)
                                  {
                                      if (!cancelled)
                                          this->write(one);
                                  });
                          });
    }

    text_of_request const beginning;
    std::string const unit;
    duration const pause;
    std::size_t first_heap = 0;
    std::size_t most_heap = 0;
    asio::ip::tcp::acceptor acceptor;
};

} // namespace lagoonladder

#endif
