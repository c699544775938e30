#ifndef LAGOONLADDER_HTTP_SOCKET_OPTIONS_HPP
#define LAGOONLADDER_HTTP_SOCKET_OPTIONS_HPP

#include <asio.hpp>

#include <lagoonladder/base.hpp>
#include <lagoonladder/http/message.hpp>

namespace lagoonladder::http
{

/// Sends small writes at once and breaks connections whose peer acknowledges nothing
/// for `timeout`.
void configure_socket(asio::ip::tcp::socket& socket, duration timeout);

/// Throws http_error when the text is no "IPv4:port".
asio::ip::tcp::endpoint to_endpoint(network_address const& address);

} // namespace lagoonladder::http

#endif
