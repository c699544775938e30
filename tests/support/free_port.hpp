#ifndef LAGOONLADDER_TESTS_SUPPORT_FREE_PORT_HPP
#define LAGOONLADDER_TESTS_SUPPORT_FREE_PORT_HPP

#include <string>

#include <asio.hpp>

#include <lagoonladder/base.hpp>

namespace lagoonladder
{

/// Returns a loopback address whose port was free at the time of the call.
inline network_address free_address()
{
    asio::io_context context;
    asio::ip::tcp::acceptor const acceptor(
        context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return network_address("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
}

} // namespace lagoonladder

#endif
