#include "socket_options.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lagoonladder::http
{

void configure_socket(asio::ip::tcp::socket& socket, duration timeout)
{
    asio::error_code ignored;
    // Errors are ignored: both options only improve latency and failure detection.
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    auto const limit = static_cast<unsigned>(timeout / milliseconds(1));
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
}

asio::ip::tcp::endpoint to_endpoint(network_address const& address)
{
    auto const& text = address.value();
    auto const colon = text.rfind(':');
    constexpr std::uint64_t invalid_port = 65536;
    auto const port = colon == std::string::npos
                          ? invalid_port
                          : parse_number(text.substr(colon + 1)).value_or(invalid_port);
    asio::error_code problem;
    auto const host = asio::ip::make_address(text.substr(0, colon), problem);
    if (problem || port >= invalid_port)
        throw http_error("\"" + text + "\" is not a valid address");
    return {host, static_cast<std::uint16_t>(port)};
}

} // namespace lagoonladder::http
