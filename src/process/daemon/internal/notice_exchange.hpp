#ifndef LAGOONLADDER_DAEMON_NOTICE_EXCHANGE_HPP
#define LAGOONLADDER_DAEMON_NOTICE_EXCHANGE_HPP

#include <array>
#include <functional>
#include <map>
#include <optional>

#include <asio.hpp>

#include <lagoonladder/observability.hpp>
#include <lagoonladder/proxy.hpp>

namespace lagoonladder::daemon
{

/// Receives notices of other entries. Called on the event loop of the exchange.
class notice_receiver
{
public:
    virtual ~notice_receiver() = default;

    virtual void on_prompt_notice(proxy::prompt_notice const& notice) = 0;
    virtual void on_crash_evidence(std::vector<request::part_evidence> const& evidence) = 0;
};

/// Exchanges notices with other entries as UDP datagrams. With a prompt notice, an entry notifies
/// the other entries of a prompt that it sent to an engine, so that they count it there. It is
/// useful for less than a second. Evidence on parts of prompts that crash engines is sent
/// repeatedly. Both may be lost, so no connection or reply is needed. Used on its event loop only.
class notice_exchange
{
public:
    /// Small enough to avoid IP fragmentation; longer notices are not sent.
    static constexpr std::size_t max_datagram_bytes = 1'200;

    /// `receiver` and `time` must outlive the exchange.
    notice_exchange(asio::io_context& context, std::string token, notice_receiver& receiver,
                    clock const& time, event_sink& events, observability::metrics& metrics);

    /// Listens at `address`. When that fails, a warning is logged and the entry neither sends nor
    /// receives notices, so it counts its own prompts only.
    void start(network_address const& address);
    void stop();

    void send(std::vector<network_address> const& receivers, proxy::prompt_notice const& notice);
    /// Sends the evidence in as many datagrams as it needs.
    void send(std::vector<network_address> const& receivers,
              std::vector<request::part_evidence> const& evidence);

private:
    void receive();
    void send_datagram(std::vector<network_address> const& receivers, std::string const& bytes);
    void process_datagram(std::string_view datagram);
    /// Returns the parsed address, from the cache if it is there; no value when it is not an IP
    /// address and a port.
    std::optional<asio::ip::udp::endpoint> const& cached_endpoint(network_address const& address);
    void count(char const* outcome, std::size_t datagrams);

    asio::ip::udp::socket socket;
    std::string const cluster_token;
    notice_receiver& receiver;
    clock const& time;
    event_sink& events;
    observability::metrics& counters;
    asio::ip::udp::endpoint sender;
    std::map<network_address, std::optional<asio::ip::udp::endpoint>> cached_endpoints;
    std::array<char, max_datagram_bytes> receive_buffer{};
};

} // namespace lagoonladder::daemon

#endif
