#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "free_port.hpp"
#include "notice_exchange.hpp"

using namespace lagoonladder;
using namespace lagoonladder::daemon;

namespace
{

/// Keeps the notices that an entry receives.
class recording_receiver : public notice_receiver
{
public:
    void on_prompt_notice(proxy::prompt_notice const& notice) override
    {
        this->prompts.push_back(notice);
    }
    void on_crash_evidence(std::vector<request::part_evidence> const& received) override
    {
        this->evidence.insert(this->evidence.end(), received.begin(), received.end());
    }

    std::vector<proxy::prompt_notice> prompts;
    std::vector<request::part_evidence> evidence;
};

/// Two entries that share an event loop.
class exchange_pair
{
public:
    explicit exchange_pair(std::string const& token_of_second = "secret")
        : first(this->context, "secret", this->unused, this->time, this->events, this->metrics)
        , second(this->context, token_of_second, this->receiver, this->time, this->events,
                 this->metrics)
    {
        this->first.start(free_address());
        this->second.start(this->address);
    }

    void run() { this->context.run_for(std::chrono::milliseconds(50)); }

    asio::io_context context;
    null_event_sink events;
    observability::metrics metrics;
    network_address const address = free_address();
    system_clock time;
    recording_receiver unused;
    recording_receiver receiver;
    std::vector<proxy::prompt_notice> const& received = this->receiver.prompts;
    notice_exchange first;
    notice_exchange second;
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

TEST_CASE("an entry receives the evidence of another on parts that crash engines")
{
    // Guards against an entry that continues to send a part which crashes engines, because fields
    // or parts of the evidence are lost when it needs several datagrams.
    exchange_pair entries;
    auto const now = entries.time.now();
    std::vector<request::part_evidence> evidence;
    for (std::uint64_t part = 0; part < 30; ++part)
    {
        request::engine_crash const crash{vm_id("front-1"), 0x8000000000000000 + part,
                                          endpoint_id("e1"), now - seconds(2), now - seconds(1)};
        evidence.push_back({0x9000000000000000 + part, {{crash, 2}, {crash, 3}}, std::nullopt});
    }
    evidence.push_back({7, {}, now - milliseconds(300)});
    entries.first.send({entries.address}, evidence);
    entries.run();
    REQUIRE(entries.receiver.evidence.size() == evidence.size());
    auto const is_close = [](time_point sent, time_point received)
    { return received >= sent && received < sent + milliseconds(100); };
    for (std::size_t i = 0; i < evidence.size(); ++i)
    {
        auto const& received = entries.receiver.evidence[i];
        CHECK(received.part == evidence[i].part);
        REQUIRE(received.crashes.size() == evidence[i].crashes.size());
        REQUIRE(received.answered_at.has_value() == evidence[i].answered_at.has_value());
        if (received.answered_at)
            CHECK(is_close(*evidence[i].answered_at, *received.answered_at));
        for (std::size_t j = 0; j < received.crashes.size(); ++j)
        {
            auto const& sent = evidence[i].crashes[j];
            auto const& arrived = received.crashes[j];
            CHECK(arrived.crash.reporter == sent.crash.reporter);
            CHECK(arrived.crash.number == sent.crash.number);
            CHECK(arrived.crash.engine == sent.crash.engine);
            CHECK(arrived.position == sent.position);
            CHECK(is_close(sent.crash.sent_at, arrived.crash.sent_at));
            CHECK(is_close(sent.crash.ended_at, arrived.crash.ended_at));
        }
    }
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
    notice_exchange third(entries.context, "secret", entries.unused, entries.time, entries.events,
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
                 RC_ASSERT(entries.receiver.evidence.empty());
             });
}
