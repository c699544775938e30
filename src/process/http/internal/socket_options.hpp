#ifndef LAGOONLADDER_HTTP_SOCKET_OPTIONS_HPP
#define LAGOONLADDER_HTTP_SOCKET_OPTIONS_HPP

#include <asio.hpp>

#include <lagoonladder/base.hpp>
#include <lagoonladder/http/message.hpp>

namespace lagoonladder::http
{

/// Disables the Nagle algorithm, so that small writes are sent at once, and sets the time after
/// which a connection breaks if the peer does not acknowledge sent data.
void configure_socket(asio::ip::tcp::socket& socket, duration timeout);

/// Throws http_error if the address is not of the form "IPv4:port".
asio::ip::tcp::endpoint to_endpoint(network_address const& address);

} // namespace lagoonladder::http

#endif
