#include <catch2/catch.hpp>

#include "content_calls.hpp"

using namespace lagoonladder;
using namespace lagoonladder::control;

namespace
{

/// A configuration has to be in force everywhere within this time of its acknowledgement.
constexpr std::chrono::milliseconds apply_limit{2'500};

/// Waits until the daemon has a configuration of at least this number. Returns false on a
/// timeout.
bool reaches_number_in_time(control_thread& loop, std::uint64_t number)
{
    auto const end = std::chrono::steady_clock::now() + apply_limit;
    while (number_in_force(loop) < number && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return number_in_force(loop) >= number;
}

void allow_fetches(small_system& system, int count)
{
    for (std::size_t i = 0; i < 3; ++i)
        system.calls(i).remaining_fetches = count;
}

/// Samples the number in force at a daemon on its own thread, until destruction.
class number_observer
{
public:
    explicit number_observer(control_thread& watched)
        : loop(watched)
        , thread([this] { this->run(); })
    {
    }

    ~number_observer()
    {
        this->stopped = true;
        this->thread.join();
    }

    number_observer(number_observer const&) = delete;
    number_observer& operator=(number_observer const&) = delete;

    bool has_decreased() const { return this->decreased; }
    /// Maximum time without a higher number, in milliseconds.
    std::int64_t max_pause() const { return this->longest_pause; }

private:
    void run()
    {
        auto last_increase = std::chrono::steady_clock::now();
        for (std::uint64_t highest = number_in_force(this->loop); !this->stopped;)
        {
            auto const number = number_in_force(this->loop);
            auto const now = std::chrono::steady_clock::now();
            if (number < highest)
                this->decreased = true;
            if (number > highest)
                last_increase = now;
            highest = std::max(highest, number);
            auto const pause =
                std::chrono::duration_cast<std::chrono::milliseconds>(now - last_increase).count();
            this->longest_pause = std::max<std::int64_t>(this->longest_pause, pause);
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

    control_thread& loop;
    std::atomic<bool> stopped = false;
    std::atomic<bool> decreased = false;
    std::atomic<std::int64_t> longest_pause = 0;
    std::thread thread;
};

} // namespace

TEST_CASE("a fetch continues at another voter after the parts received so far")
{
    // Guards against fetches that restart from the first part at each voter.
    constexpr int parts_per_voter = 3;
    small_system system;
    REQUIRE(becomes_ready(system));
    auto const configuration = make_configuration(1, 5'000);
    auto const parts = part_count(configuration);
    REQUIRE(parts > 2 * parts_per_voter);
    REQUIRE(parts <= 3 * parts_per_voter);
    allow_fetches(system, 0);
    REQUIRE(apply_until_acknowledged(system.loop(system.leader(3)), configuration));
    for (std::size_t i = 0; i < 3; ++i)
        REQUIRE(reaches_number_in_time(system.loop(i), 1));
    allow_fetches(system, parts_per_voter);
    CHECK(reaches_number_in_time(system.loop(3), 1));
    part_calls fetched;
    for (std::size_t i = 0; i < 3; ++i)
        add_to(fetched, system.calls(i).fetched());
    CHECK(fetched.size() == parts);
    CHECK(total_calls(fetched) == static_cast<int>(parts));
}

TEST_CASE("a fetch that failed at all voters continues with the parts received so far")
{
    // Guards against parts that are fetched again after each network failure.
    constexpr int parts_per_voter = 2;
    small_system system;
    REQUIRE(becomes_ready(system));
    auto const configuration = make_configuration(1, 8'000);
    auto const parts = part_count(configuration);
    REQUIRE(parts > 3 * parts_per_voter);
    allow_fetches(system, 0);
    REQUIRE(apply_until_acknowledged(system.loop(system.leader(3)), configuration));
    for (std::size_t i = 0; i < 3; ++i)
        REQUIRE(reaches_number_in_time(system.loop(i), 1));
    allow_fetches(system, parts_per_voter);
    auto const fetched = [&]
    {
        part_calls sum;
        for (std::size_t i = 0; i < 3; ++i)
            add_to(sum, system.calls(i).fetched());
        return sum;
    };
    REQUIRE(eventually([&] { return total_calls(fetched()) == 3 * parts_per_voter; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    allow_fetches(system, 1'000'000);
    CHECK(reaches_number_in_time(system.loop(3), 1));
    CHECK(fetched().size() == parts);
    CHECK(total_calls(fetched()) == static_cast<int>(parts));
}

TEST_CASE("a daemon without a log advances while large configurations follow each other")
{
    // Guards against fetches that are aborted by each newer configuration: configurations 52 to 56
    // of a large system arrived within seconds.
    constexpr std::uint64_t configuration_count = 30;
    constexpr std::uint64_t max_lag = 3;
    std::vector<version::service_configuration> configurations;
    for (std::uint64_t number = 1; number <= configuration_count; ++number)
        configurations.push_back(make_configuration(number, 1'800));
    small_system system(milliseconds(300));
    REQUIRE(becomes_ready(system));
    auto& leader = system.loop(system.leader(3));
    REQUIRE(apply_until_acknowledged(leader, configurations.front()));
    REQUIRE(reaches_number_in_time(system.loop(3), 1));
    std::vector<std::future<optional_apply_result>> results;
    {
        number_observer const observer(system.loop(3));
        for (std::uint64_t number = 2; number <= configuration_count; ++number)
        {
            results.push_back(begin_apply(leader, configurations[number - 1]));
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
        CHECK(observer.max_pause() < apply_limit.count());
        CHECK_FALSE(observer.has_decreased());
    }
    CHECK(reaches_number_in_time(system.loop(3), configuration_count - max_lag));
    for (auto& result : results)
        CHECK(result.get());
}

TEST_CASE("the number in force never decreases while voters are lost and join")
{
    // Guards against a daemon that adopts the state of a voter that lags behind.
    small_system system;
    REQUIRE(becomes_ready(system));
    number_observer const observer(system.loop(3));
    std::uint64_t number = 0;
    auto const apply_configurations = [&]
    {
        for (int i = 0; i < 4; ++i)
        {
            ++number;
            CHECK(apply_until_acknowledged(system.loop(3), make_configuration(number, 1'800)));
        }
    };
    apply_configurations();
    for (std::size_t lost = 0; lost < 3; ++lost)
    {
        system.stop(lost);
        if (lost == 1)
            system.lose_disk(lost);
        apply_configurations();
        system.start(lost);
        apply_configurations();
        auto const voter =
            "entry-" + std::to_string(lost) + "#" + std::to_string(system.incarnations[lost]);
        auto const is_voter = [&]
        {
            auto const voters = system.loop((lost + 1) % 3).view()->voters;
            return voters.size() == 3 &&
                   std::find(voters.begin(), voters.end(), voter) != voters.end();
        };
        REQUIRE(eventually(is_voter));
        REQUIRE(eventually([&] { return system.loop(lost).view()->ready; }));
    }
    CHECK(reaches_number_in_time(system.loop(3), number));
    CHECK_FALSE(observer.has_decreased());
}

TEST_CASE("a read at a daemon that lacks the newest content returns no older document")
{
    // Guards against reads that return an older configuration than the acknowledged one.
    small_system system;
    REQUIRE(becomes_ready(system));
    auto const first = make_configuration(1, 100);
    auto const second = make_configuration(2, 100);
    REQUIRE(apply_until_acknowledged(system.loop(3), first));
    REQUIRE(reaches_number_in_time(system.loop(3), 1));
    REQUIRE(read_document(system.loop(3)) == first.document);
    allow_fetches(system, 0);
    REQUIRE(apply_until_acknowledged(system.loop(0), second));
    for (int i = 0; i < 5; ++i)
        CHECK(read_document(system.loop(3)).empty());
    CHECK(number_in_force(system.loop(3)) == 1);
    CHECK(eventually([&] { return is_outdated(*system.loop(3).traffic()); }));
    allow_fetches(system, 1'000'000);
    CHECK(eventually([&] { return read_document(system.loop(3)) == second.document; }));
    CHECK(reaches_number_in_time(system.loop(3), 2));
}

TEST_CASE("voters that restart from a snapshot serve contents")
{
    // Guards against contents that only those voters hold that were running when they arrived.
    small_system system(milliseconds(100), 20);
    REQUIRE(becomes_ready(system));
    auto const configuration = make_configuration(1, 5'000);
    REQUIRE(apply_until_acknowledged(system.loop(3), configuration));
    for (int i = 0; i < 40; ++i)
        commit_and_wait(system.loop(0), version::reserve_orders{1, 1}, seconds(10));
    REQUIRE(eventually([&] { return system.loop(0).view()->shared->applied_index > 40; }));
    for (std::size_t i = 0; i < 4; ++i)
        system.stop(i);
    for (std::size_t i = 0; i < 3; ++i)
    {
        auto const stored = system.stores[i].load();
        REQUIRE(stored.snapshot);
        REQUIRE(stored.snapshot->index.value() > 20);
    }
    for (std::size_t i = 0; i < 4; ++i)
        system.start(i);
    REQUIRE(becomes_ready(system));
    CHECK(reaches_number_in_time(system.loop(3), 1));
    CHECK(eventually([&] { return read_document(system.loop(3)) == configuration.document; }));
}

TEST_CASE("a voter whose disk is full follows configurations")
{
    // Guards against a daemon that uses an outdated configuration until its disk has space.
    small_system system;
    REQUIRE(becomes_ready(system));
    REQUIRE(apply_until_acknowledged(system.loop(3), make_configuration(1, 1'800)));
    auto const full = (system.leader(3) + 1) % 3;
    REQUIRE(reaches_number_in_time(system.loop(full), 1));
    system.stores[full].is_full = true;
    for (std::uint64_t number = 2; number <= 4; ++number)
    {
        REQUIRE(apply_until_acknowledged(system.loop(3), make_configuration(number, 1'800)));
        CHECK(reaches_number_in_time(system.loop(full), number));
    }
    REQUIRE(apply_until_acknowledged(system.loop(full), make_configuration(5, 1'800)));
    system.stores[full].is_full = false;
    CHECK(reaches_number_in_time(system.loop(full), 5));
}
