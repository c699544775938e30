#include <catch2/catch.hpp>

#include <functional>

#include <lagoonladder/storage.hpp>

#include "simulated_disk.hpp"
#include "stored_log.hpp"

using namespace lagoonladder;
using namespace lagoonladder::consensus;
using namespace lagoonladder::storage;

namespace
{

using unsynced = simulated_disk::unsynced;

std::string const folder = "/srv/data";
vm_id const vm("vm1");

log_entry make_entry(std::uint64_t index, std::uint64_t term, std::size_t bytes = 20)
{
    return {log_index(index), term_number(term), entry_kind::command, std::string(bytes, 'x')};
}

hard_state make_hard_state(std::uint64_t term, std::uint64_t commit)
{
    return {term_number(term), voter_id("a#1"), log_index(commit)};
}

snapshot make_snapshot(std::uint64_t index, std::uint64_t term)
{
    return {log_index(index),
            term_number(term),
            {{{voter_id("a#1"), network_address("h:1")}}, {}},
            "state " + std::to_string(index)};
}

bool are_equal(persistent_state const& left, persistent_state const& right)
{
    return left.hard_state == right.hard_state && left.entries == right.entries &&
           left.snapshot == right.snapshot;
}

/// A process that has loaded its log.
struct voter_process
{
    voter_process(simulated_disk& disk, random_source& random, file_log_store_options options = {})
        : store(disk.start_process(), folder, options)
        , id(this->store.open_voter_id(vm, random))
        , loaded(this->store.load())
    {
    }

    file_log_store store;
    voter_id id;
    persistent_state loaded;
};

using store_action = std::function<void(file_log_store&)>;

void save_two_entries(file_log_store& store)
{
    store.save(make_hard_state(1, 0), {make_entry(1, 1), make_entry(2, 1)}, true);
}

void save_third_entry(file_log_store& store)
{
    store.save(make_hard_state(2, 2), {make_entry(3, 2)}, true);
}

/// Saves the third entry on a disk that takes the record but neither its sync nor its removal.
void fail_third_entry(simulated_disk& disk, file_log_store& store)
{
    disk.set_failures(true, 1);
    CHECK_THROWS_AS(save_third_entry(store), storage_error);
    disk.set_failures(true, 0);
}

/// Kills a process at the given operation of `action`. Returns false if the action has fewer
/// operations.
bool kill_during(simulated_disk& disk, random_source& random, file_log_store_options options,
                 store_action const& action, std::uint64_t operation)
{
    voter_process process(disk, random, options);
    save_two_entries(process.store);
    disk.kill_after(operation);
    try
    {
        action(process.store);
        return false;
    }
    catch (process_killed const&)
    {
        return true;
    }
}

/// Kills a process at each operation of `action`, and checks that what the next process loads is
/// also loaded after a loss of power.
void check_each_kill(file_log_store_options options, store_action const& action, unsynced remainder)
{
    for (std::uint64_t operation = 0;; ++operation)
    {
        INFO("killed at operation " << operation);
        seeded_random random(operation);
        simulated_disk disk(random);
        if (!kill_during(disk, random, options, action, operation))
        {
            CHECK(operation >= 2);
            return;
        }
        voter_process const second(disk, random, options);
        disk.lose_power(remainder);
        voter_process const third(disk, random, options);
        CHECK(third.id == second.id);
        CHECK(are_equal(third.loaded, second.loaded));
    }
}

} // namespace

TEST_CASE("a log that was loaded survives a loss of power")
{
    // Guards against the acknowledgement of entries that a killed process has written but not
    // synced.
    check_each_kill({}, save_third_entry, unsynced::lost);
}

TEST_CASE("a segment that was loaded before its folder was synced survives a loss of power")
{
    // Guards against a voter that finds no log, and draws a new id, since a killed process has
    // renamed the new segment and the next one has removed the old ones.
    auto const remainder = GENERATE(unsynced::lost, unsynced::removals);
    SECTION("a further segment")
    {
        check_each_kill({10}, save_third_entry, remainder);
    }
    SECTION("a snapshot")
    {
        check_each_kill(
            {}, [](file_log_store& store) { store.save_snapshot(make_snapshot(2, 1)); }, remainder);
    }
}

TEST_CASE("a data folder in which a log was created survives a loss of power")
{
    // Guards against a voter that loses its log and id with the folder, since its parent was not
    // synced.
    for (std::uint64_t operation = 0;; ++operation)
    {
        INFO("killed at operation " << operation);
        seeded_random random(operation);
        simulated_disk disk(random);
        bool is_killed = false;
        try
        {
            auto files = disk.start_process();
            disk.kill_after(operation);
            file_log_store store(std::move(files), folder);
            store.open_voter_id(vm, random);
            store.load();
        }
        catch (process_killed const&)
        {
            is_killed = true;
        }
        auto const second = voter_process(disk, random).id;
        disk.lose_power(unsynced::lost);
        CHECK(voter_process(disk, random).id == second);
        if (!is_killed)
            return;
    }
}

TEST_CASE("a log that was loaded after a failed sync survives a loss of power")
{
    // Guards against the acknowledgement of writes that the kernel has discarded: after a failed
    // sync they are read back, and a second sync does not store them.
    bool const is_restarted = GENERATE(false, true);
    INFO("restarted " << is_restarted);
    for (std::uint64_t seed = 0; seed < 20; ++seed)
    {
        seeded_random random(seed);
        simulated_disk disk(random);
        persistent_state loaded;
        {
            voter_process first(disk, random);
            save_two_entries(first.store);
            fail_third_entry(disk, first.store);
            if (!is_restarted)
                loaded = first.store.load();
        }
        if (is_restarted)
            loaded = voter_process(disk, random).loaded;
        disk.lose_power(unsynced::lost);
        CHECK(are_equal(voter_process(disk, random).loaded, loaded));
    }
}

TEST_CASE("a log with a failed sync is not loaded from a full disk before it is stored")
{
    // Guards against a load that syncs the segment again since there is no space for a copy.
    for (std::uint64_t seed = 0; seed < 20; ++seed)
    {
        seeded_random random(seed);
        simulated_disk disk(random);
        persistent_state loaded;
        {
            voter_process first(disk, random);
            save_two_entries(first.store);
            fail_third_entry(disk, first.store);
            disk.set_full(true);
            try
            {
                loaded = first.store.load();
            }
            catch (storage_error const&)
            {
                disk.set_full(false);
                loaded = first.store.load();
            }
        }
        disk.set_full(false);
        disk.lose_power(unsynced::lost);
        CHECK(are_equal(voter_process(disk, random).loaded, loaded));
    }
}

TEST_CASE("a record whose sync failed is not loaded by the next process from a full disk")
{
    // Guards against a process that syncs the record again, for want of space for a copy, and takes
    // it for stored.
    for (std::uint64_t seed = 0; seed < 20; ++seed)
    {
        seeded_random random(seed);
        simulated_disk disk(random);
        {
            voter_process first(disk, random);
            save_two_entries(first.store);
            disk.fail_next_sync();
            CHECK_THROWS_AS(save_third_entry(first.store), storage_error);
        }
        disk.set_full(true);
        auto const loaded = voter_process(disk, random).loaded;
        disk.lose_power(unsynced::lost);
        CHECK(are_equal(voter_process(disk, random).loaded, loaded));
    }
}

TEST_CASE("a log that was loaded from a full disk survives a loss of power")
{
    // Guards against a daemon that does not start while its disk is full, or that starts with
    // entries that are not stored.
    seeded_random random(1);
    simulated_disk disk(random);
    CHECK(kill_during(disk, random, {}, save_third_entry, 1));
    disk.set_full(true);
    auto const loaded = voter_process(disk, random).loaded;
    CHECK(loaded.entries.size() == 3);
    disk.lose_power(unsynced::lost);
    CHECK(are_equal(voter_process(disk, random).loaded, loaded));
}

namespace
{

/// Random work of a voter on a disk that fails, with the states that a load may return.
class random_voter
{
public:
    explicit random_voter(std::uint64_t seed)
        : random(seed)
        , disk(this->random)
        // A process whose disk refuses writes cannot copy a file whose sync failed in an earlier
        // process, so that a run has only one of these faults.
        , fails_syncs(this->chance(0.5))
        , options{this->random.below(600)}
    {
        this->expected.emplace_back();
    }

    /// Ends with the last step, or throws std::runtime_error with what was lost.
    void run(std::size_t steps)
    {
        for (std::size_t step = 0; step < steps; ++step)
        {
            this->position = step;
            this->run_step();
        }
        this->disk.set_failures(this->fails_syncs, 0);
        this->disk.set_full(false);
        this->store.reset();
        this->disk.lose_power(unsynced::random);
        this->start_process(UINT64_MAX);
    }

    std::size_t step() const { return this->position; }
    std::size_t kills = 0;
    std::size_t failed_saves = 0;
    std::size_t losses = 0;
    std::size_t loads = 0;

private:
    bool chance(double probability) { return this->random.unit() < probability; }

    void run_step()
    {
        this->disk.set_full(!this->fails_syncs && this->chance(0.1));
        this->disk.set_failures(this->fails_syncs, this->chance(0.2) ? 0.2 : 0);
        auto const failures = this->disk.failures();
        try
        {
            bool const is_killed = this->chance(0.25);
            auto const operations = this->random.below(12);
            if (!this->store)
                return this->start_process(is_killed ? operations : UINT64_MAX);
            if (is_killed)
                this->disk.kill_after(operations);
            this->use_store();
            if (this->disk.is_process_killed() || this->chance(0.1))
                this->end_process();
        }
        catch (process_killed const&)
        {
            ++this->kills;
            this->end_process();
        }
        catch (storage_error const& problem)
        {
            if (this->disk.failures() == failures)
                throw std::runtime_error(std::string("error without a failure of the disk: ") +
                                         problem.what());
            ++this->failed_saves;
            this->is_loaded = false;
            if (!this->voter || this->chance(0.2))
                this->end_process();
        }
    }

    void end_process()
    {
        this->store.reset();
        this->is_loaded = false;
        if (!this->chance(0.5))
            return;
        ++this->losses;
        this->disk.lose_power(this->chance(0.3) ? unsynced::lost : unsynced::random);
    }

    void start_process(std::uint64_t operations_until_kill)
    {
        auto files = this->disk.start_process();
        this->disk.kill_after(operations_until_kill);
        this->store = std::make_unique<file_log_store>(std::move(files), folder, this->options);
        auto const id = this->store->open_voter_id(vm, this->random);
        if (this->voter && id != *this->voter)
            throw std::runtime_error("the voter id was lost");
        this->load();
        this->voter = id;
    }

    void load()
    {
        this->is_loaded = false;
        auto const loaded = this->store->load();
        ++this->loads;
        bool const is_expected =
            std::any_of(this->expected.begin(), this->expected.end(),
                        [&](persistent_state const& state) { return are_equal(state, loaded); });
        if (!is_expected)
            throw std::runtime_error("loaded another state than the stored one: " +
                                     std::to_string(loaded.entries.size()) +
                                     " entries instead of " +
                                     std::to_string(this->expected.back().entries.size()));
        this->expected = {loaded};
        this->is_loaded = true;
    }

    void use_store()
    {
        if (!this->is_loaded)
            return this->load();
        auto const action = this->random.below(10);
        if (action < 2)
            return this->save_snapshot();
        auto state = this->expected.back();
        auto const last = last_index(state);
        std::uint64_t first = last + 1;
        if (action < 4 || last == 0)
            this->term += 1;
        if (action == 2 && !state.entries.empty())
            first = last - this->random.below(state.entries.size());
        std::vector<log_entry> entries;
        for (std::uint64_t added = 0; action != 9 && added <= this->random.below(3); ++added)
            entries.push_back(make_entry(first + added, this->term, this->random.below(200)));
        state.hard_state = make_hard_state(this->term, this->random.below(last + 1));
        append_entries(state, entries);
        bool const must_sync = this->chance(0.8);
        auto const hard = state.hard_state;
        this->expected.push_back(std::move(state));
        this->store->save(hard, entries, must_sync);
        if (must_sync)
            this->expected.erase(this->expected.begin(), this->expected.end() - 1);
    }

    void save_snapshot()
    {
        auto state = this->expected.back();
        auto stored = make_snapshot(last_index(state) + 3, ++this->term);
        if (!state.entries.empty() && this->chance(0.7))
        {
            auto const& covered = state.entries[this->random.below(state.entries.size())];
            stored = make_snapshot(covered.index.value(), covered.term.value());
        }
        install_snapshot(state, stored);
        this->expected.push_back(std::move(state));
        this->store->save_snapshot(stored);
        this->expected.erase(this->expected.begin(), this->expected.end() - 1);
    }

    static std::uint64_t last_index(persistent_state const& state)
    {
        auto const base = state.snapshot ? state.snapshot->index.value() : 0;
        return base + state.entries.size();
    }

    seeded_random random;
    simulated_disk disk;
    bool fails_syncs;
    file_log_store_options options;
    std::unique_ptr<file_log_store> store;
    bool is_loaded = false;
    /// Id under which a log was loaded.
    std::optional<voter_id> voter;
    /// The stored state, and the results of saves that were not completed or need no sync yet.
    std::vector<persistent_state> expected;
    std::uint64_t term = 1;
    std::size_t position = 0;
};

} // namespace

TEST_CASE("what was saved or loaded survives any kills, failed writes and losses of power")
{
    // Guards against acknowledged entries, votes and voter ids that are lost with the power.
    // Replay: storage_test --rng-seed SEED.
    constexpr std::size_t runs = 500;
    constexpr std::size_t steps = 100;
    std::size_t kills = 0;
    std::size_t failed_saves = 0;
    std::size_t losses = 0;
    std::size_t loads = 0;
    for (std::uint64_t seed = Catch::rngSeed(); seed < Catch::rngSeed() + runs; ++seed)
    {
        random_voter voter(seed);
        try
        {
            voter.run(steps);
        }
        catch (std::runtime_error const& problem)
        {
            FAIL("seed " << seed << ", step " << voter.step() << ": " << problem.what());
        }
        kills += voter.kills;
        failed_saves += voter.failed_saves;
        losses += voter.losses;
        loads += voter.loads;
    }
    CHECK(kills > runs);
    CHECK(failed_saves > runs);
    CHECK(losses > runs);
    CHECK(loads > runs);
}
