#ifndef LAGOONLADDER_TESTS_SUPPORT_FREE_PORT_HPP
#define LAGOONLADDER_TESTS_SUPPORT_FREE_PORT_HPP

#include <cstdint>
#include <random>
#include <string>

#include <asio.hpp>

#include <lagoonladder/base.hpp>

namespace lagoonladder
{

/// Returns a loopback address whose port was free at the time of the call. The port is below those
/// that the system assigns to outgoing connections, and below those of the system tests, which run
/// at the same time: another process could take one of these before the test listens on it.
inline network_address free_address()
{
    constexpr unsigned first_port = 10'000;
    constexpr unsigned last_port = 21'999;
    static std::mt19937 engine{std::random_device{}()};
    asio::io_context context;
    for (;;)
    {
        auto const port = std::uniform_int_distribution(first_port, last_port)(engine);
        asio::ip::tcp::endpoint const endpoint(asio::ip::address_v4::loopback(),
                                               static_cast<std::uint16_t>(port));
        asio::ip::tcp::acceptor acceptor(context, endpoint.protocol());
        asio::error_code problem;
        acceptor.bind(endpoint, problem);
        if (!problem)
            return network_address("127.0.0.1:" + std::to_string(port));
    }
}

} // namespace lagoonladder

#endif
