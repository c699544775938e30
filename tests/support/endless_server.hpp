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

/// A server that responds to each request with an initial text and then sends the same bytes
/// repeatedly until the client closes the connection.
class endless_server
{
public:
    using response_builder = std::function<std::string(std::string const& request)>;

    /// `interval` is the pause between two repetitions; by default there is none.
    endless_server(asio::io_context& io, response_builder build_beginning, std::string repetition,
                   duration interval = duration(0))
        : make_beginning(std::move(build_beginning))
        , repeated_bytes(std::move(repetition))
        , pause(interval)
        , acceptor(io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        this->accept();
    }

    endless_server(asio::io_context& io, std::string const& beginning, std::string repetition,
                   duration interval = duration(0))
        : endless_server(
              io, [beginning](std::string const&) { return beginning; }, std::move(repetition),
              interval)
    {
    }

    network_address address() const
    {
        return network_address("127.0.0.1:" +
                               std::to_string(this->acceptor.local_endpoint().port()));
    }

    /// Maximum growth of the heap of this process in bytes since the first request.
    std::size_t heap_growth() const { return this->max_heap - this->initial_heap; }

    int requests = 0;
    int closed_by_peer = 0;
    std::uint64_t sent_bytes = 0;

private:
    struct client_connection
    {
        explicit client_connection(asio::ip::tcp::socket accepted)
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
                this->read(std::make_shared<client_connection>(std::move(socket)));
                this->accept();
            });
    }

    /// Reads up to the end of the header; the requests of the tests have no body.
    void read(std::shared_ptr<client_connection> const& client)
    {
        client->socket.async_read_some(
            asio::buffer(client->chunk),
            [this, client](asio::error_code const& problem, std::size_t count)
            {
                if (problem)
                    return;
                client->input.append(client->chunk.data(), count);
                if (client->input.find("\r\n\r\n") == std::string::npos)
                    return this->read(client);
                if (this->requests++ == 0)
                    this->initial_heap = used_heap();
                this->max_heap = std::max(this->max_heap, this->initial_heap);
                client->output = this->make_beginning(client->input);
                this->write(client);
            });
    }

    void write(std::shared_ptr<client_connection> const& client)
    {
        asio::async_write(client->socket, asio::buffer(client->output),
                          [this, client](asio::error_code const& problem, std::size_t count)
                          {
                              this->sent_bytes += count;
                              this->max_heap = std::max(this->max_heap, used_heap());
                              if (problem)
                              {
                                  ++this->closed_by_peer;
                                  return;
                              }
                              client->output = this->repeated_bytes;
                              client->timer.expires_after(this->pause);
                              client->timer.async_wait(
                                  [this, client](asio::error_code const& cancelled)
                                  {
                                      if (!cancelled)
                                          this->write(client);
                                  });
                          });
    }

    response_builder const make_beginning;
    std::string const repeated_bytes;
    duration const pause;
    std::size_t initial_heap = 0;
    std::size_t max_heap = 0;
    asio::ip::tcp::acceptor acceptor;
};

} // namespace lagoonladder

#endif
