#include <catch2/catch.hpp>

#include "control_fixture.hpp"
#include "slow_relay.hpp"

using namespace lagoonladder;
using namespace lagoonladder::control;

namespace
{

/// A configuration has to be acknowledged within this time.
constexpr std::chrono::seconds acknowledge_limit{5};
/// A configuration has to be in force everywhere within this time of its acknowledgement.
constexpr std::chrono::milliseconds apply_limit{2'500};
/// An operator tries another daemon after this time.
constexpr std::chrono::milliseconds operator_timeout{1'000};

/// A leader's uplink of 100 Mbit/s, shared by seven followers.
link_rate const share_of_uplink = megabits_per_second(100.0 / 7);
/// Link of a daemon without a log.
link_rate const reader_link = megabits_per_second(10);
link_rate const fast_link = megabits_per_second(1'000);

/// Voters and daemons without a log, connected by links of limited rate.
class slow_link_system
{
public:
    static constexpr std::size_t voters = 3;

    /// `to_voter` is the rate at which voters receive, `to_reader` the rate at which daemons
    /// without a log receive replies of voters.
    slow_link_system(link_rate to_voter, link_rate to_reader, std::size_t readers,
                     std::uint64_t snapshot_after = 10'000)
        : snapshot_after_entries(snapshot_after)
    {
        for (std::size_t i = 0; i < voters + readers; ++i)
        {
            this->addresses.push_back(free_address());
            this->listen_addresses.push_back(free_address());
            this->relays.push_back(std::make_unique<slow_relay>(this->addresses[i].value(),
                                                                this->listen_addresses[i].value(),
                                                                to_voter, to_reader));
        }
        this->processes.resize(voters + readers);
        for (std::size_t i = 0; i < voters + readers; ++i)
            this->start(i);
    }

    control_thread& loop(std::size_t index) { return this->processes[index]->loop; }

    void stop(std::size_t index) { this->processes[index].reset(); }

    bool is_ready()
    {
        return std::all_of(this->processes.begin(), this->processes.end(),
                           [](auto const& process) { return process->loop.view()->ready; });
    }

    std::uint64_t term() { return this->loop(0).view()->term; }

    void start(std::size_t index)
    {
        config::settings config;
        config.vm = vm_id("entry-" + std::to_string(index));
        config.data_centre = data_centre_id("dc");
        config.zone = zone_id("zone");
        config.http = network_address("127.0.0.1:1");
        config.control = this->addresses[index];
        config.cluster_token = "secret";
        config.election_timeout = milliseconds(500);
        config.gossip_interval = milliseconds(500);
        config.state_poll_interval = milliseconds(300);
        bool const is_voter = index < voters;
        for (std::size_t i = 0; i < voters; ++i)
        {
            config.seeds.push_back(this->addresses[i]);
            if (is_voter)
                config.initial_voters.push_back(
                    {vm_id("entry-" + std::to_string(i)), this->addresses[i]});
        }
        if (is_voter)
            config.data_folder = "in memory";
        config.snapshot_after_entries = this->snapshot_after_entries;
        this->processes[index] = std::make_unique<control_process>(
            config, is_voter ? &this->stores[index] : nullptr,
            "entry-" + std::to_string(index) + "#1", this->listen_addresses[index]);
    }

    /// Index of the leader, as the daemon at `index` knows it; `voters` when there is none.
    std::size_t leader(std::size_t index)
    {
        auto const leader_address = network_address(this->loop(index).view()->leader);
        auto const found =
            std::find(this->addresses.begin(), this->addresses.end(), leader_address);
        return std::min<std::size_t>(static_cast<std::size_t>(found - this->addresses.begin()),
                                     voters);
    }

private:
    std::uint64_t const snapshot_after_entries;
    std::vector<network_address> addresses;
    std::vector<network_address> listen_addresses;
    std::vector<std::unique_ptr<slow_relay>> relays;
    storage::memory_log_store stores[voters];
    std::vector<std::unique_ptr<control_process>> processes;
};

/// Creates a configuration with unique route names, which compress as badly as real ones.
version::service_configuration make_configuration(std::uint64_t number, std::size_t routes)
{
    version::service_map map;
    map.number = number;
    version::pass_through_service service;
    service.name = service_name("model");
    map.services = {service};
    std::string document;
    seeded_random random(number);
    for (std::size_t i = 0; i < routes; ++i)
    {
        version::pass_through_route route;
        route.name = route_name("r-" + std::to_string(random.next()));
        route.host = "host.example";
        route.path_prefix = "/" + std::to_string(random.next()) + "/";
        route.split = {{service.name, 1}};
        document += "{\"name\":\"" + route.name.value() + "\",\"hostname\":\"" + route.host +
                    "\",\"pathPrefix\":\"" + route.path_prefix +
                    "\",\"routeType\":\"stream\",\"timeoutMs\":8000,\"targetLatencyMs\":1000,"
                    "\"priority\":1,\"trafficSplit\":[{\"backend\":\"model\",\"weight\":100}],"
                    "\"maxAttempts\":1,\"allowAnonymous\":false,\"sessionAffinity\":true,"
                    "\"resumable\":false,\"targetGapMs\":600},";
        map.routes.push_back(std::move(route));
    }
    return {std::move(map), std::move(document)};
}

/// Sends a configuration to one daemon. Returns whether it was acknowledged within the
/// operator's timeout.
bool apply_and_wait(control_thread& loop, version::service_configuration const& configuration)
{
    auto const promise = std::make_shared<std::promise<bool>>();
    auto future = promise->get_future();
    loop.apply_services(configuration,
                        [promise](std::optional<version::apply_map_result> const& result)
                        { promise->set_value(result && result->problem.empty()); });
    return future.wait_for(operator_timeout) == std::future_status::ready && future.get();
}

/// Sends a configuration as an operator does, to one daemon after another until it is
/// acknowledged. Returns false when that takes longer than the limit.
bool send_configuration(slow_link_system& system, std::uint64_t number, std::size_t routes)
{
    auto const configuration = make_configuration(number, routes);
    auto const end = std::chrono::steady_clock::now() + acknowledge_limit;
    for (std::size_t attempt = 0; std::chrono::steady_clock::now() < end; ++attempt)
    {
        auto& loop = system.loop(attempt == 0 ? slow_link_system::voters : attempt % 3);
        if (apply_and_wait(loop, configuration))
            return true;
    }
    return false;
}

bool has_number(control_thread& loop, std::uint64_t number)
{
    auto const view = loop.view();
    return view->shared->services && view->shared->services->map().number >= number;
}

/// Whether all daemons have the number in force within the limit.
bool is_in_force_within_limit(slow_link_system& system, std::uint64_t number, std::size_t daemons)
{
    auto const end = std::chrono::steady_clock::now() + apply_limit;
    auto const is_everywhere_in_force = [&]
    {
        for (std::size_t i = 0; i < daemons; ++i)
        {
            if (!has_number(system.loop(i), number))
                return false;
        }
        return true;
    };
    while (!is_everywhere_in_force() && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    return is_everywhere_in_force();
}

} // namespace

TEST_CASE("a configuration with many routes is acknowledged over slow links")
{
    // Guards against transfers that never fit into their time limit: configuration 49 of a large
    // system was sent for 20 s and never acknowledged.
    slow_link_system system(share_of_uplink, fast_link, 1);
    REQUIRE(eventually([&] { return system.is_ready(); }));
    REQUIRE(send_configuration(system, 1, 300));
    auto const term = system.term();
    CHECK(send_configuration(system, 2, 1'800));
    CHECK(is_in_force_within_limit(system, 2, slow_link_system::voters));
    // Heartbeats must not be delayed by a configuration transfer.
    CHECK(system.term() == term);
}

TEST_CASE("a daemon without a log follows a configuration with many routes over a slow link")
{
    // Guards against committed configurations that daemons without a log never receive: a reply
    // with the complete state took longer than a poll's time limit, and was requested again.
    slow_link_system system(fast_link, reader_link, 2);
    REQUIRE(eventually([&] { return system.is_ready(); }));
    CHECK(send_configuration(system, 2, 1'800));
    CHECK(is_in_force_within_limit(system, 2, slow_link_system::voters + 2));
}

TEST_CASE("a daemon knows of a newer configuration while its content is being fetched")
{
    // Guards against 404 and 401 responses of an entry that still uses the previous configuration,
    // and against an entry that reverts to it or reports a newer one forever.
    slow_link_system system(fast_link, reader_link, 1);
    REQUIRE(eventually([&] { return system.is_ready(); }));
    REQUIRE(send_configuration(system, 1, 10));
    REQUIRE(is_in_force_within_limit(system, 1, slow_link_system::voters + 1));
    auto& reader = system.loop(slow_link_system::voters);
    REQUIRE_FALSE(is_outdated(*reader.traffic()));
    REQUIRE(apply_and_wait(system.loop(0), make_configuration(2, 1'800)));
    bool was_outdated = false;
    std::uint64_t highest = 1;
    bool has_reverted = false;
    auto const end = std::chrono::steady_clock::now() + apply_limit;
    while (std::chrono::steady_clock::now() < end)
    {
        auto const view = reader.traffic();
        auto const number = view->services->map().number;
        has_reverted = has_reverted || number < highest;
        highest = std::max(highest, number);
        was_outdated = was_outdated || (number == 1 && is_outdated(*view));
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    CHECK(was_outdated);
    CHECK_FALSE(has_reverted);
    CHECK(highest == 2);
    CHECK_FALSE(is_outdated(*reader.traffic()));
}

namespace
{

/// A restarted voter has to catch up with the log within this time.
constexpr std::chrono::seconds catch_up_limit{6};

/// Number of content parts that are committed while a voter is stopped.
constexpr std::size_t missed_parts = 100;

/// Appends parts of one content to the log.
void write_parts(control_thread& loop, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        version::content_part part;
        part.digest = version::content_digest("x");
        part.offset = i * version::max_content_part_bytes;
        part.total = 128 * version::max_content_part_bytes;
        part.bytes = std::string(version::max_content_part_bytes, static_cast<char>(i));
        commit_and_wait(loop, version::store_content_part{part}, seconds(5));
    }
}

/// Stops a follower, commits content parts and restarts it. It has to catch up in time, without
/// an election, while small commands are still committed quickly.
void check_catch_up(std::uint64_t snapshot_after_entries)
{
    slow_link_system system(share_of_uplink, fast_link, 0, snapshot_after_entries);
    REQUIRE(eventually([&] { return system.is_ready() && system.leader(0) < 3; }));
    auto const leader = system.leader(0);
    auto const follower = (leader + 1) % slow_link_system::voters;
    system.stop(follower);
    write_parts(system.loop(leader), missed_parts);
    auto const term = system.loop(leader).view()->term;
    auto const target_index = system.loop(leader).view()->shared->applied_index;
    system.start(follower);
    auto const end = std::chrono::steady_clock::now() + catch_up_limit;
    auto const has_caught_up = [&]
    {
        auto const view = system.loop(follower).view();
        return view->shared && view->shared->applied_index >= target_index;
    };
    std::chrono::steady_clock::duration slowest{};
    while (!has_caught_up() && std::chrono::steady_clock::now() < end)
    {
        auto const start_time = std::chrono::steady_clock::now();
        commit_and_wait(system.loop(leader), version::reserve_orders{1, 1}, seconds(5));
        slowest = std::max(slowest, std::chrono::steady_clock::now() - start_time);
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    CHECK(has_caught_up());
    CHECK(slowest < operator_timeout);
    CHECK(system.loop(leader).view()->term == term);
}

} // namespace

TEST_CASE("a voter that missed many entries catches up over a slow link")
{
    // Guards against sending everything that a follower lacks in one call, which times out before
    // it arrives and is repeated without end.
    check_catch_up(10'000);
}

TEST_CASE("a voter that needs a large snapshot catches up over a slow link")
{
    // Guards against a snapshot that is sent in one call, which times out like a call with all the
    // missing entries.
    check_catch_up(40);
}
