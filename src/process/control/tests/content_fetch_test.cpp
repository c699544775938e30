#include <catch2/catch.hpp>

#include "content_calls.hpp"

using namespace lagoonladder;
using namespace lagoonladder::control;

namespace
{

/// Within this time after its acknowledgement a configuration has to be in force everywhere.
constexpr std::chrono::milliseconds apply_limit{2'500};

/// Whether the daemon has this number or a higher one within the limit.
bool has_number_in_time(control_thread& loop, std::uint64_t number)
{
    auto const end = std::chrono::steady_clock::now() + apply_limit;
    while (number_at(loop) < number && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return number_at(loop) >= number;
}

void allow_fetches(small_system& system, int count)
{
    for (std::size_t i = 0; i < 3; ++i)
        system.calls(i).fetches_allowed = count;
}

/// Samples the number in force at a daemon until it is destroyed.
class number_watch
{
public:
    explicit number_watch(control_thread& watched)
        : loop(watched)
        , thread([this] { this->run(); })
    {
    }

    ~number_watch()
    {
        this->stopped = true;
        this->thread.join();
    }

    number_watch(number_watch const&) = delete;
    number_watch& operator=(number_watch const&) = delete;

    bool has_decreased() const { return this->decreased; }
    /// Longest time without a higher number, in milliseconds.
    std::int64_t longest_pause() const { return this->pause; }

private:
    void run()
    {
        auto changed = std::chrono::steady_clock::now();
        for (std::uint64_t highest = number_at(this->loop); !this->stopped;)
        {
            auto const number = number_at(this->loop);
            auto const now = std::chrono::steady_clock::now();
            if (number < highest)
                this->decreased = true;
            if (number > highest)
                changed = now;
            highest = std::max(highest, number);
            auto const since =
                std::chrono::duration_cast<std::chrono::milliseconds>(now - changed).count();
            this->pause = std::max<std::int64_t>(this->pause, since);
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

    control_thread& loop;
    std::atomic<bool> stopped = false;
    std::atomic<bool> decreased = false;
    std::atomic<std::int64_t> pause = 0;
    std::thread thread;
};

} // namespace

TEST_CASE("a fetch goes on at another voter after the parts that it has")
{
    // Guards against fetches that begin anew at each voter.
    constexpr int parts_of_each_voter = 3;
    small_system system;
    REQUIRE(is_settled(system));
    auto const stated = make_stated(1, 5'000);
    auto const parts = parts_of(stated);
    REQUIRE(parts > 2 * parts_of_each_voter);
    REQUIRE(parts <= 3 * parts_of_each_voter);
    allow_fetches(system, 0);
    REQUIRE(apply_at_last(system.loop(system.leader(3)), stated));
    for (std::size_t i = 0; i < 3; ++i)
        REQUIRE(has_number_in_time(system.loop(i), 1));
    allow_fetches(system, parts_of_each_voter);
    CHECK(has_number_in_time(system.loop(3), 1));
    part_calls fetched;
    for (std::size_t i = 0; i < 3; ++i)
        add_to(fetched, system.calls(i).fetched());
    CHECK(fetched.size() == parts);
    CHECK(sum_of(fetched) == static_cast<int>(parts));
}

TEST_CASE("a fetch that no voter could finish goes on with the parts that arrived")
{
    // Guards against parts that are fetched again after each loss of the network.
    constexpr int parts_of_each_voter = 2;
    small_system system;
    REQUIRE(is_settled(system));
    auto const stated = make_stated(1, 8'000);
    auto const parts = parts_of(stated);
    REQUIRE(parts > 3 * parts_of_each_voter);
    allow_fetches(system, 0);
    REQUIRE(apply_at_last(system.loop(system.leader(3)), stated));
    for (std::size_t i = 0; i < 3; ++i)
        REQUIRE(has_number_in_time(system.loop(i), 1));
    allow_fetches(system, parts_of_each_voter);
    auto const fetched = [&]
    {
        part_calls sum;
        for (std::size_t i = 0; i < 3; ++i)
            add_to(sum, system.calls(i).fetched());
        return sum;
    };
    REQUIRE(eventually([&] { return sum_of(fetched()) == 3 * parts_of_each_voter; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    allow_fetches(system, 1'000'000);
    CHECK(has_number_in_time(system.loop(3), 1));
    CHECK(fetched().size() == parts);
    CHECK(sum_of(fetched()) == static_cast<int>(parts));
}

TEST_CASE("a daemon without a log advances while large configurations follow each other")
{
    // Guards against fetches that each newer configuration cuts off: versions 52 to 56 of a
    // grown system came within seconds.
    constexpr std::uint64_t versions = 30;
    constexpr std::uint64_t last_ones = 3;
    std::vector<version::service_configuration> stated;
    for (std::uint64_t number = 1; number <= versions; ++number)
        stated.push_back(make_stated(number, 1'800));
    small_system system(milliseconds(300));
    REQUIRE(is_settled(system));
    auto& leader = system.loop(system.leader(3));
    REQUIRE(apply_at_last(leader, stated.front()));
    REQUIRE(has_number_in_time(system.loop(3), 1));
    std::vector<std::future<apply_outcome>> answers;
    {
        number_watch const watch(system.loop(3));
        for (std::uint64_t number = 2; number <= versions; ++number)
        {
            answers.push_back(begin_apply(leader, stated[number - 1]));
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
        CHECK(watch.longest_pause() < apply_limit.count());
        CHECK_FALSE(watch.has_decreased());
    }
    CHECK(has_number_in_time(system.loop(3), versions - last_ones));
    for (auto& answer : answers)
        CHECK(answer.get());
}

TEST_CASE("the number in force never decreases while voters are lost and join")
{
    // Guards against a daemon that takes the state of a voter that lags behind.
    small_system system;
    REQUIRE(is_settled(system));
    number_watch const watch(system.loop(3));
    std::uint64_t number = 0;
    auto const apply_some = [&]
    {
        for (int i = 0; i < 4; ++i)
        {
            ++number;
            CHECK(apply_at_last(system.loop(3), make_stated(number, 1'800)));
        }
    };
    apply_some();
    for (std::size_t lost = 0; lost < 3; ++lost)
    {
        system.stop(lost);
        if (lost == 1)
            system.lose_disk(lost);
        apply_some();
        system.start(lost);
        apply_some();
        auto const voter =
            "entry-" + std::to_string(lost) + "#" + std::to_string(system.incarnations[lost]);
        auto const counts = [&]
        {
            auto const voters = system.loop((lost + 1) % 3).view()->voters;
            return voters.size() == 3 &&
                   std::find(voters.begin(), voters.end(), voter) != voters.end();
        };
        REQUIRE(eventually(counts));
        REQUIRE(eventually([&] { return system.loop(lost).view()->ready; }));
    }
    CHECK(has_number_in_time(system.loop(3), number));
    CHECK_FALSE(watch.has_decreased());
}

TEST_CASE("a read at a daemon that lacks the newest content returns no older document")
{
    // Guards against operators that read an older configuration than the acknowledged one.
    small_system system;
    REQUIRE(is_settled(system));
    auto const first = make_stated(1, 100);
    auto const second = make_stated(2, 100);
    REQUIRE(apply_at_last(system.loop(3), first));
    REQUIRE(has_number_in_time(system.loop(3), 1));
    REQUIRE(read_text(system.loop(3)) == first.document);
    allow_fetches(system, 0);
    REQUIRE(apply_at_last(system.loop(0), second));
    for (int i = 0; i < 5; ++i)
        CHECK(read_text(system.loop(3)).empty());
    CHECK(number_at(system.loop(3)) == 1);
    CHECK(eventually([&] { return system.loop(3).view()->knows_newer; }));
    allow_fetches(system, 1'000'000);
    CHECK(eventually([&] { return read_text(system.loop(3)) == second.document; }));
    CHECK(has_number_in_time(system.loop(3), 2));
}

TEST_CASE("voters that restart from a snapshot serve contents")
{
    // Guards against contents that only the voters hold that were there when they came.
    small_system system(milliseconds(100), 20);
    REQUIRE(is_settled(system));
    auto const stated = make_stated(1, 5'000);
    REQUIRE(apply_at_last(system.loop(3), stated));
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
    REQUIRE(is_settled(system));
    CHECK(has_number_in_time(system.loop(3), 1));
    CHECK(eventually([&] { return read_text(system.loop(3)) == stated.document; }));
}

TEST_CASE("a voter whose disk is full follows configurations")
{
    // Guards against a daemon that serves an old configuration until there is space.
    small_system system;
    REQUIRE(is_settled(system));
    REQUIRE(apply_at_last(system.loop(3), make_stated(1, 1'800)));
    auto const full = (system.leader(3) + 1) % 3;
    REQUIRE(has_number_in_time(system.loop(full), 1));
    system.stores[full].is_full = true;
    for (std::uint64_t number = 2; number <= 4; ++number)
    {
        REQUIRE(apply_at_last(system.loop(3), make_stated(number, 1'800)));
        CHECK(has_number_in_time(system.loop(full), number));
    }
    REQUIRE(apply_at_last(system.loop(full), make_stated(5, 1'800)));
    system.stores[full].is_full = false;
    CHECK(has_number_in_time(system.loop(full), 5));
}
