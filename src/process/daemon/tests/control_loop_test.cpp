#include <future>
#include <thread>

#include <catch2/catch.hpp>
#include <grpcpp/grpcpp.h>

#include "control_loop.hpp"
#include "control_services.hpp"
#include "free_port.hpp"

using namespace lagoonladder;
using namespace lagoonladder::daemon;

namespace
{

std::string const first_text = "[service booking]\nkind = plain\nversion = v1\n";
std::string const second_text = first_text + "[route create]\nservice = booking\nmethod = POST\n"
                                             "path = /bookings\nidempotent = false\n";

/// Log store on a disk that can fill up.
class fillable_store : public storage::memory_log_store
{
public:
    fillable_store() = default;

    using log_store::save;

    void save(std::optional<consensus::hard_state> const& state,
              std::vector<consensus::log_entry> const& entries, bool must_sync) override
    {
        this->require_space();
        this->storage::memory_log_store::save(state, entries, must_sync);
    }

    void save_snapshot(consensus::snapshot const& state) override
    {
        this->require_space();
        this->storage::memory_log_store::save_snapshot(state);
    }

    std::atomic<bool> is_full = false;

private:
    void require_space() const
    {
        if (this->is_full)
            throw storage::storage_error("no space left");
    }
};

/// One daemon without its traffic plane, with real sockets between daemons.
class control_process
{
public:
    control_process(settings const& config, storage::log_store* store, std::string const& voter)
        : options(config)
        , events(config.vm, this->time, severity::error)
        , peers(config.cluster_token)
        , loop({this->options, this->events, this->metrics, this->time, this->peers, store,
                consensus::voter_id(voter), stable_hash(voter + config.vm.value())})
        , consensus_calls(this->loop, this->options)
        , control_calls(this->loop, this->options, this->time)
        , directory_calls(this->loop, this->options)
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort(config.control.value(), grpc::InsecureServerCredentials());
        builder.RegisterService(&this->consensus_calls);
        builder.RegisterService(&this->control_calls);
        builder.RegisterService(&this->directory_calls);
        this->server = builder.BuildAndStart();
        this->loop.start();
    }

    ~control_process()
    {
        this->server->Shutdown(std::chrono::system_clock::now());
        this->loop.stop();
    }

    settings const options;
    system_clock time;
    observability::metrics metrics;
    observability::event_timeline events;
    peer_channels peers;
    control_loop loop;
    consensus_service consensus_calls;
    control_service control_calls;
    directory_service directory_calls;
    std::unique_ptr<grpc::Server> server;
};

/// Three voters and one daemon without a disk.
class small_system
{
public:
    explicit small_system(duration poll_interval = milliseconds(100))
        : state_poll_interval(poll_interval)
    {
        for (std::size_t i = 0; i < 4; ++i)
            this->addresses.push_back(free_address());
        for (std::size_t i = 0; i < 4; ++i)
            this->start(i);
    }

    settings make_settings(std::size_t index) const
    {
        settings config;
        config.vm = vm_id("entry-" + std::to_string(index));
        config.data_centre = data_centre_id("dc-" + std::to_string(index));
        config.zone = zone_id("zone-" + std::to_string(index));
        config.http = network_address("127.0.0.1:1");
        config.control = this->addresses[index];
        config.seeds = {this->addresses[0], this->addresses[1], this->addresses[2]};
        config.cluster_token = "secret";
        config.election_timeout = milliseconds(400);
        config.gossip_interval = milliseconds(200);
        config.state_poll_interval = this->state_poll_interval;
        if (index < 3)
        {
            config.data_folder = "in memory";
            for (std::size_t i = 0; i < 3; ++i)
                config.initial_voters.push_back(
                    {vm_id("entry-" + std::to_string(i)), this->addresses[i]});
        }
        return config;
    }

    void start(std::size_t index)
    {
        auto const voter =
            "entry-" + std::to_string(index) + "#" + std::to_string(this->incarnations[index]);
        this->processes[index] = std::make_unique<control_process>(
            this->make_settings(index), index < 3 ? &this->stores[index] : nullptr, voter);
    }

    void stop(std::size_t index) { this->processes[index].reset(); }

    void lose_disk(std::size_t index)
    {
        static_cast<storage::memory_log_store&>(this->stores[index]) = storage::memory_log_store();
        ++this->incarnations[index];
    }

    control_loop& loop(std::size_t index) { return this->processes[index]->loop; }

    version::apply_result apply(std::size_t index, std::uint64_t base, std::string const& text,
                                std::string const& operation)
    {
        version::apply_configuration const command{generation(base), "test.ini", text,
                                                   operation_id(operation)};
        return std::get<version::apply_result>(this->loop(index).propose(command, seconds(10)));
    }

    duration const state_poll_interval;
    std::vector<network_address> addresses;
    fillable_store stores[3];
    std::uint64_t incarnations[4] = {1, 1, 1, 1};
    std::unique_ptr<control_process> processes[4];
};

template <class Condition>
bool eventually(Condition condition, std::chrono::seconds limit = std::chrono::seconds(15))
{
    auto const end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end)
    {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return condition();
}

bool in_force(control_loop& loop, std::uint64_t number)
{
    auto const view = loop.view();
    return view->ready && view->shared->generation == generation(number);
}

request::once_begin begin_booking(std::string const& attempt, wall_time now)
{
    return {{account_id("a"), service_name("booking"), idempotency_key("k")},
            "digest",
            attempt_id(attempt),
            now,
            now + seconds(30)};
}

} // namespace

TEST_CASE("a configuration reaches every daemon and survives restarts")
{
    // Guards against a generation that is acknowledged and not in force, or that
    // is replaced by an older one after a restart.
    small_system system;
    auto const stored = system.apply(3, 0, first_text, "op-1");
    REQUIRE(stored.outcome == version::apply_outcome::stored);
    auto const number = stored.generation.value();
    for (std::size_t i = 0; i < 4; ++i)
        CHECK(eventually([&] { return in_force(system.loop(i), number); }));

    for (std::size_t i = 0; i < 4; ++i)
        system.stop(i);
    system.start(3);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    CHECK_FALSE(system.loop(3).view()->ready);
    for (std::size_t i = 0; i < 3; ++i)
        system.start(i);
    for (std::size_t i = 0; i < 4; ++i)
        CHECK(eventually([&] { return in_force(system.loop(i), number); }));
}

TEST_CASE("of two operators with the same base one is stored and the other gets a conflict")
{
    // Guards against both operators being told that their file is in force.
    small_system system;
    auto const base = system.apply(0, 0, first_text, "op-1").generation.value();
    auto one =
        std::async(std::launch::async, [&] { return system.apply(1, base, second_text, "op-2"); });
    auto const other = system.apply(3, base, first_text + "\n", "op-3");
    auto const first = one.get();
    auto const stored = version::apply_outcome::stored;
    auto const conflict = version::apply_outcome::conflict;
    CHECK(((first.outcome == stored && other.outcome == conflict) ||
           (first.outcome == conflict && other.outcome == stored)));
    auto const& winner = first.outcome == stored ? first : other;
    auto const again = first.outcome == stored ? system.apply(2, base, second_text, "op-2")
                                               : system.apply(2, base, first_text + "\n", "op-3");
    CHECK(again.outcome == version::apply_outcome::repeated);
    CHECK(again.generation == winner.generation);
}

TEST_CASE("without a quorum a command is unknown and nothing is granted")
{
    // Guards against an isolated daemon granting a dispatch or denying an earlier one.
    small_system system;
    system.apply(0, 0, first_text, "op-1");
    REQUIRE(eventually([&] { return system.loop(3).view()->ready; }));
    system.stop(0);
    system.stop(1);
    auto const now = system_clock().wall_now();
    CHECK_THROWS_AS(system.loop(2).propose(begin_booking("a-1", now), milliseconds(1500)),
                    daemon_error);
    CHECK_THROWS_AS(system.loop(3).find_once(begin_booking("a-1", now).key, milliseconds(1500)),
                    outcome_unknown_error);
    CHECK(eventually([&] { return !system.loop(2).view()->quorum_recent; }));
    CHECK(eventually([&] { return !system.loop(3).view()->quorum_recent; }));
    CHECK(system.loop(3).view()->shared->generation.value() > 0);
}

TEST_CASE("a voter with a lost disk joins again and a second loss is survived")
{
    // Guards against acknowledged entries that are lost when a repaired voter
    // counts before it has them.
    small_system system;
    auto const number = system.apply(0, 0, first_text, "op-1").generation.value();
    system.stop(2);
    system.lose_disk(2);
    system.start(2);
    auto const joined = [&]
    {
        auto const voters = system.loop(0).view()->voters;
        return voters.size() == 3 &&
               std::find(voters.begin(), voters.end(), "entry-2#2") != voters.end();
    };
    REQUIRE(eventually(joined));
    system.stop(0);
    auto const next = system.apply(2, number, second_text, "op-2");
    CHECK(next.outcome == version::apply_outcome::stored);
    CHECK(eventually([&] { return in_force(system.loop(3), next.generation.value()); }));
}

TEST_CASE("one attempt of a booking is granted over entries that race")
{
    // Guards against two entries that both dispatch a resent booking.
    small_system system;
    system.apply(0, 0, first_text, "op-1");
    auto const now = system_clock().wall_now();
    std::vector<std::future<request::once_reply>> replies;
    for (std::size_t i = 0; i < 4; ++i)
        replies.push_back(
            std::async(std::launch::async,
                       [&system, i, now]
                       {
                           return std::get<request::once_reply>(system.loop(i).propose(
                               begin_booking("a-" + std::to_string(i), now), seconds(10)));
                       }));
    int granted = 0;
    for (auto& reply : replies)
        granted += reply.get().verdict == request::once_verdict::granted ? 1 : 0;
    CHECK(granted == 1);
    auto const found = system.loop(3).find_once(begin_booking("a-0", now).key, seconds(5));
    REQUIRE(found);
    CHECK(found->verdict == request::once_verdict::in_progress);
}

TEST_CASE("a leaving endpoint is marked at every entry within the bound")
{
    // Guards against an entry that sends new work to an endpoint that leaves.
    small_system system;
    connection::endpoint_record row;
    row.id = endpoint_id("e-1");
    row.service = service_name("booking");
    row.version = version_name("v1");
    row.address = network_address("127.0.0.1:1");
    row.vm = vm_id("vm-1");
    row.data_centre = data_centre_id("dc-0");
    row.zone = zone_id("zone-0");
    row.machine_class = "small";
    row.incarnation = incarnation(1);
    row.sequence = 1;
    system.loop(0).announce(row);
    auto const state_at = [&](std::size_t i) -> std::optional<connection::endpoint_state>
    {
        auto const view = system.loop(i).view();
        auto const rows = view->endpoints.find(row.service);
        if (rows == view->endpoints.end() || rows->second.empty())
            return std::nullopt;
        return rows->second.front().state;
    };
    for (std::size_t i = 0; i < 4; ++i)
        REQUIRE(eventually([&] { return state_at(i).has_value(); }, std::chrono::seconds(4)));
    system.loop(1).set_leaving(row.vm);
    auto const begun = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < 4; ++i)
        CHECK(eventually([&] { return state_at(i) != connection::endpoint_state::serving; },
                         std::chrono::seconds(3)));
    CHECK(std::chrono::steady_clock::now() - begun < std::chrono::seconds(3));
}

TEST_CASE("a daemon whose disk is full goes on without its log until there is space")
{
    // Guards against the end of the process, which cuts off its callers' streams.
    small_system system;
    CHECK(system.apply(3, 0, first_text, "one").outcome == version::apply_outcome::stored);
    REQUIRE(eventually([&] { return system.loop(0).view()->shared->generation.value() == 1; }));
    system.stores[0].is_full = true;
    CHECK(system.apply(3, 1, second_text, "two").outcome == version::apply_outcome::stored);
    REQUIRE(eventually([&] { return system.loop(0).view()->shared->generation.value() == 2; }));
    CHECK(system.apply(0, 2, first_text, "three").outcome == version::apply_outcome::stored);
    system.stores[0].is_full = false;
    // Needs voter 0: the only other running one is no quorum.
    std::this_thread::sleep_for(seconds(3));
    system.stop(1);
    CHECK(system.apply(3, 3, second_text, "four").outcome == version::apply_outcome::stored);
}

namespace
{

version::apply_service_map make_pass_through(std::uint64_t number)
{
    version::apply_service_map order;
    order.map.number = number;
    version::pass_service service;
    service.name = service_name("model");
    order.map.services = {service};
    order.document = "document " + std::to_string(number);
    return order;
}

/// Reports traffic as an entry sees it while the move gives the new version its share.
version::move_state outcome_of_move(double failures_of_new)
{
    small_system system;
    system.loop(3).propose(make_pass_through(1), seconds(10));
    system.loop(3).propose(
        version::start_service_move{service_name("model"), version_name("v2"), seconds(8)},
        seconds(10));
    seeded_random random(7);
    auto const state = [&]
    {
        auto const shared = system.loop(3).view()->shared;
        return shared->moves.empty() ? version::move_state::running : shared->moves[0].state;
    };
    auto const end = std::chrono::steady_clock::now() + std::chrono::seconds(12);
    while (state() == version::move_state::running && std::chrono::steady_clock::now() < end)
    {
        auto const shared = system.loop(3).view()->shared;
        auto const share = shared->moves.empty() ? 0 : shared->moves[0].share;
        for (std::size_t i = 0; i < 10; ++i)
        {
            bool const is_new = random.unit() < share;
            version::traffic_sample sample;
            sample.service = service_name("model");
            sample.version = version_name(is_new ? "v2" : "");
            sample.route = route_name("r");
            sample.requests = 1;
            sample.failures = is_new && random.unit() < failures_of_new ? 1 : 0;
            sample.whole_call.add(milliseconds(20));
            system.loop(i % 4).record_traffic(sample);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return state();
}

} // namespace

TEST_CASE("a short move of a pass-through service finishes in its time")
{
    // Guards against moves of seconds that never leave their first step.
    CHECK(outcome_of_move(0) == version::move_state::finished);
}

TEST_CASE("a bad version of a pass-through service is taken back")
{
    CHECK(outcome_of_move(0.5) == version::move_state::reversed);
}

TEST_CASE("a pass-through configuration survives the loss of its leader")
{
    // Guards against an acknowledged configuration that is lost or reverts.
    small_system system;
    system.loop(3).propose(make_pass_through(7), seconds(10));
    system.stop(0);
    auto const read = [&]
    {
        return std::get<version::pass_state_result>(
            system.loop(3).propose(version::read_pass_state{true}, seconds(10)));
    };
    CHECK(read().document == "document 7");
    auto const older = std::get<version::apply_map_result>(
        system.loop(3).propose(make_pass_through(5), seconds(10)));
    CHECK_FALSE(older.stored);
    CHECK(read().number == 7);
}

TEST_CASE("a daemon that starts does not wait for its poll interval to be ready")
{
    // Guards against refusals for the rest of an interval after all daemons restarted.
    small_system system(seconds(20));
    for (std::size_t i = 0; i < 4; ++i)
        CHECK(eventually([&] { return system.loop(i).view()->ready; }, std::chrono::seconds(5)));
}
