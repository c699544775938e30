#ifndef LAGOONLADDER_CONTROL_TESTS_GOSSIP_FIXTURE_HPP
#define LAGOONLADDER_CONTROL_TESTS_GOSSIP_FIXTURE_HPP

#include <lagoonladder/config.hpp>

#include "gossip_driver.hpp"

namespace lagoonladder::control
{

inline config::settings make_settings(std::string const& vm)
{
    config::settings settings;
    settings.vm = vm_id(vm);
    settings.data_centre = data_centre_id("a");
    settings.zone = zone_id("a");
    settings.http = network_address("127.0.0.1:1");
    settings.control = network_address("127.0.0.1:2");
    settings.gossip_interval = milliseconds(100);
    return settings;
}

inline connection::entry_record make_entry(std::size_t number)
{
    connection::entry_record row;
    row.vm = vm_id("entry-" + std::to_string(number));
    row.data_centre = data_centre_id("a");
    row.zone = zone_id("a");
    row.http = network_address("127.0.0.1:1");
    row.control = network_address("127.0.0.1:2");
    row.incarnation = incarnation(1);
    return row;
}

inline connection::endpoint_record make_endpoint(std::size_t number)
{
    connection::endpoint_record row;
    row.id = endpoint_id("endpoint-" + std::to_string(number));
    row.service = service_name("llm");
    row.version = version_name("v1");
    row.zone = zone_id("a");
    row.address = network_address("127.0.0.1:3");
    row.vm = vm_id("vm-" + std::to_string(number));
    row.data_centre = data_centre_id("a");
    row.incarnation = incarnation(1);
    row.sequence = 1;
    return row;
}

/// A daemon's directories without a network: the test transfers the digests.
struct directories
{
    explicit directories(std::string const& vm)
        : settings(make_settings(vm))
        , events(this->settings.vm, this->time, severity::error)
        , peers("token")
        , random(7)
        , context(std::make_shared<asio::io_context>(1))
        , driver(this->context, this->settings, this->peers, this->events, this->time, this->random)
    {
        this->driver.set_change_handler([] {});
    }

    /// Adds rows of entries, received from another daemon, and announces endpoints.
    void receive_rows(std::size_t entries, std::size_t endpoints)
    {
        auto rows = nlohmann::json::array();
        for (std::size_t i = 0; i < entries; ++i)
            rows.push_back(make_entry(i));
        protocol::Digest digest;
        digest.set_from("sender");
        auto const bytes = nlohmann::json::to_msgpack(rows);
        digest.set_entries(std::string(bytes.begin(), bytes.end()));
        this->driver.exchange(digest);
        for (std::size_t i = 0; i < endpoints; ++i)
            this->driver.announce(make_endpoint(i), [](bool) {});
    }

    /// Adds one entry row as received from another daemon.
    void receive_entry(connection::entry_record const& row)
    {
        protocol::Digest digest;
        digest.set_from("sender");
        auto const bytes = nlohmann::json::to_msgpack(nlohmann::json(std::vector{row}));
        digest.set_entries(std::string(bytes.begin(), bytes.end()));
        this->driver.exchange(digest);
    }

    config::settings settings;
    system_clock time;
    observability::event_timeline events;
    peer_channels peers;
    seeded_random random;
    std::shared_ptr<asio::io_context> context;
    gossip_driver driver;
};

} // namespace lagoonladder::control

#endif
