#ifndef LAGOONLADDER_DAEMON_PROMPT_EXCHANGE_HPP
#define LAGOONLADDER_DAEMON_PROMPT_EXCHANGE_HPP

#include <array>
#include <functional>
#include <map>
#include <optional>

#include <asio.hpp>

#include <lagoonladder/observability.hpp>
#include <lagoonladder/proxy.hpp>

namespace lagoonladder::daemon
{

/// Tells other entries of prompts by datagrams, and hears of theirs. News is of use for
/// less than a second and may be lost, so that no connection or answer is needed. Used on
/// its event loop only.
class prompt_exchange
{
public:
    /// Longer news is not sent: a datagram of this size needs no fragments.
    static constexpr std::size_t max_datagram_bytes = 1'200;

    using handler = std::function<void(proxy::prompt_notice const&)>;

    prompt_exchange(asio::io_context& context, std::string token, handler on_news,
                    event_sink& events, observability::metrics& metrics);

    /// Listens at the port of `address`. Without it the entry counts its own prompts only.
    void start(network_address const& address);
    void stop();

    void send(std::vector<network_address> const& receivers, proxy::prompt_notice const& news);

private:
    void receive();
    void take(std::string_view datagram);
    /// No value for an address without a host and a port.
    std::optional<asio::ip::udp::endpoint> const& resolve(network_address const& receiver);
    void count(char const* outcome, std::size_t datagrams);

    asio::ip::udp::socket socket;
    std::string const cluster_token;
    handler const on_news;
    event_sink& events;
    observability::metrics& gauges;
    asio::ip::udp::endpoint sender;
    std::map<network_address, std::optional<asio::ip::udp::endpoint>> resolved;
    std::array<char, max_datagram_bytes> buffer{};
};

} // namespace lagoonladder::daemon

#endif
