#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "free_port.hpp"
#include "prompt_notice_exchange.hpp"

using namespace lagoonladder;
using namespace lagoonladder::daemon;

namespace
{

/// Two entries that share an event loop.
class exchange_pair
{
public:
    explicit exchange_pair(std::string const& token_of_second = "secret")
        : first(
              this->context, "secret", [](proxy::prompt_notice const&) {}, this->events,
              this->metrics)
        , second(
              this->context, token_of_second,
              [this](proxy::prompt_notice const& notice) { this->received.push_back(notice); },
              this->events, this->metrics)
    {
        this->first.start(free_address());
        this->second.start(this->address);
    }

    void run() { this->context.run_for(std::chrono::milliseconds(50)); }

    asio::io_context context;
    null_event_sink events;
    observability::metrics metrics;
    network_address const address = free_address();
    std::vector<proxy::prompt_notice> received;
    prompt_notice_exchange first;
    prompt_notice_exchange second;
};

proxy::prompt_notice make_notice(std::size_t parts)
{
    proxy::prompt_notice notice{endpoint_id("e1"), incarnation(7), {}};
    for (std::size_t i = 0; i < parts; ++i)
        notice.prompt.push_back({0x8000000000000000 + i, 100 + i});
    return notice;
}

} // namespace

TEST_CASE("an entry receives the prompt notices of another")
{
    // Guards against fields that are lost or confused in a datagram.
    exchange_pair entries;
    auto const notice = make_notice(3);
    entries.first.send({entries.address}, notice);
    entries.run();
    REQUIRE(entries.received.size() == 1);
    CHECK(entries.received[0].engine == notice.engine);
    CHECK(entries.received[0].incarnation == notice.incarnation);
    CHECK(entries.received[0].prompt == notice.prompt);
}

TEST_CASE("notices of other systems, to unusable addresses and of excessive length are dropped")
{
    // Guards against datagrams and addresses that terminate the traffic thread.
    exchange_pair other("another secret");
    other.first.send({other.address}, make_notice(3));
    other.run();
    CHECK(other.received.empty());

    exchange_pair entries;
    entries.first.send({network_address("nowhere"), free_address()}, make_notice(1));
    entries.first.send({entries.address}, make_notice(1'000));
    entries.run();
    CHECK(entries.received.empty());
    entries.first.send({entries.address}, make_notice(1));
    entries.run();
    CHECK(entries.received.size() == 1);
}

TEST_CASE("each datagram of a notice is counted")
{
    // Guards against a wrong loss rate in the operators' metrics: each receiver counts once, also
    // when its address is in the cache.
    exchange_pair entries;
    for (int i = 0; i < 2; ++i)
        entries.first.send({entries.address, network_address("nowhere"), entries.address},
                           make_notice(1));
    entries.run();
    CHECK(entries.received.size() == 4);
    auto const text = entries.metrics.expose();
    CHECK(text.find("prompt_news_total{outcome=\"sent\"} 4") != std::string::npos);
    CHECK(text.find("prompt_news_total{outcome=\"received\"} 4") != std::string::npos);
    CHECK(text.find("outcome=\"not_sent\"") == std::string::npos);
}

TEST_CASE("an entry that cannot bind the port continues without notices")
{
    // Guards against a daemon that fails to start, or fails later, because the UDP port is in use.
    exchange_pair entries;
    prompt_notice_exchange third(
        entries.context, "secret", [](proxy::prompt_notice const&) {}, entries.events,
        entries.metrics);
    third.start(entries.address);
    third.send({entries.address}, make_notice(1));
    entries.run();
    CHECK(entries.received.empty());
}

TEST_CASE("datagrams of arbitrary bytes are tolerated")
{
    // Guards against a malformed datagram that terminates the traffic thread.
    exchange_pair entries;
    asio::io_context context;
    asio::ip::udp::socket other_socket(context, asio::ip::udp::endpoint(asio::ip::udp::v4(), 0));
    auto const port = entries.address.value().substr(entries.address.value().rfind(':') + 1);
    asio::ip::udp::endpoint const target(asio::ip::address_v4::loopback(),
                                         static_cast<std::uint16_t>(std::stoul(port)));
    rc::prop("no datagram is decoded as a notice",
             [&](std::vector<std::uint8_t> const& bytes)
             {
                 other_socket.send_to(asio::buffer(bytes), target);
                 entries.context.poll();
                 RC_ASSERT(entries.received.empty());
             });
}
