#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <fcntl.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <lagoonladder/storage.hpp>

#include "temporary_folder.hpp"

using namespace lagoonladder;
using namespace lagoonladder::consensus;
using namespace lagoonladder::storage;
using Catch::Matchers::Contains;

namespace
{

/// File descriptors with writes that have not been synced.
std::set<int> unsynced_descriptors;
/// Whether a file was renamed before it was synced.
bool has_renamed_unsynced = false;
/// Whether the folder was synced after the last rename.
bool is_folder_synced = true;
/// Whether fsync() reaches the device. Switched off for restarts of the store, which do not need
/// it: syncs take up most of their time.
bool syncs_device = true;

std::string const first_segment = "/log-00000000000000000001";

log_entry make_entry(std::uint64_t index, std::uint64_t term, std::string data = "x")
{
    return {log_index(index), term_number(term), entry_kind::command, std::move(data)};
}

hard_state make_hard_state(std::uint64_t term, std::uint64_t commit)
{
    return {term_number(term), voter_id("a#1"), log_index(commit)};
}

snapshot snapshot_at(std::uint64_t index, std::uint64_t term)
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

persistent_state load(std::string const& folder)
{
    return file_log_store(folder).load();
}

/// Writes five batches of one entry each. Returns the content of the log file and the offsets at
/// which the batches end.
std::pair<std::string, std::vector<std::size_t>> write_batches(std::string const& folder)
{
    file_log_store store(folder);
    store.load();
    std::vector<std::size_t> ends{read_bytes(folder + first_segment).size()};
    for (std::uint64_t index = 1; index <= 5; ++index)
    {
        store.save(make_hard_state(1, index - 1), {make_entry(index, 1, "data")}, true);
        ends.push_back(read_bytes(folder + first_segment).size());
    }
    return {read_bytes(folder + first_segment), ends};
}

} // namespace

extern "C" ssize_t write(int descriptor, void const* data, size_t size)
{
    unsynced_descriptors.insert(descriptor);
    return ::syscall(SYS_write, descriptor, data, size);
}

extern "C" int rename(char const* from, char const* to)
{
    has_renamed_unsynced = has_renamed_unsynced || !unsynced_descriptors.empty();
    is_folder_synced = false;
    return static_cast<int>(::syscall(SYS_renameat2, AT_FDCWD, from, AT_FDCWD, to, 0));
}

extern "C" int fsync(int descriptor)
{
    struct stat properties
    {
    };
    ::fstat(descriptor, &properties);
    is_folder_synced = is_folder_synced || S_ISDIR(properties.st_mode);
    unsynced_descriptors.erase(descriptor);
    return syncs_device ? static_cast<int>(::syscall(SYS_fsync, descriptor)) : 0;
}

TEST_CASE("a save returns only after a sync")
{
    // Guards against the acknowledgement of data that a loss of power would destroy.
    temporary_folder folder;
    file_log_store store(folder.path);
    store.load();
    unsynced_descriptors.clear();
    store.save(make_hard_state(1, 0), {make_entry(1, 1)}, true);
    CHECK(unsynced_descriptors.empty());
    store.save_snapshot(snapshot_at(1, 1));
    CHECK(unsynced_descriptors.empty());
    CHECK_FALSE(has_renamed_unsynced);
    CHECK(is_folder_synced);
}

TEST_CASE("the file store agrees with the memory store")
{
    // Guards against entries that reappear after a truncation, a snapshot or a restart.
    syncs_device = false;
    rc::prop(
        "any saves and restarts",
        []
        {
            temporary_folder folder;
            auto file = std::make_unique<file_log_store>(folder.path, file_log_store_options{200});
            file->load();
            memory_log_store memory;
            std::uint64_t snapshot_index = 0;
            std::uint64_t last_index = 0;
            std::uint64_t term = 1;
            auto const steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
            for (int const step : steps)
            {
                if (step <= 1)
                {
                    // Step 1 replaces the end of the log in a new term.
                    term += step;
                    auto const first = step == 1 && last_index > snapshot_index
                                           ? snapshot_index + 1 + last_index % 2
                                           : last_index + 1;
                    last_index = std::min(first, last_index + 1);
                    std::vector<log_entry> const entries{make_entry(last_index, term),
                                                         make_entry(last_index + 1, term)};
                    ++last_index;
                    file->save(make_hard_state(term, snapshot_index), entries, true);
                    memory.save(make_hard_state(term, snapshot_index), entries, true);
                }
                else if (step == 2)
                {
                    auto const stored = memory.load();
                    bool const has_entries = !stored.entries.empty();
                    auto const state = has_entries ? snapshot_at(stored.entries[0].index.value(),
                                                                 stored.entries[0].term.value())
                                                   : snapshot_at(last_index + 3, ++term);
                    file->save_snapshot(state);
                    memory.save_snapshot(state);
                    snapshot_index = state.index.value();
                    last_index = std::max(last_index, snapshot_index);
                }
                else if (step == 3)
                {
                    file->save(make_hard_state(++term, snapshot_index), {}, true);
                    memory.save(make_hard_state(term, snapshot_index), {}, true);
                }
                else
                {
                    file.reset();
                    file =
                        std::make_unique<file_log_store>(folder.path, file_log_store_options{200});
                    RC_ASSERT(are_equal(file->load(), memory.load()));
                }
            }
            file.reset();
            RC_ASSERT(are_equal(load(folder.path), memory.load()));
        });
    syncs_device = true;
}

TEST_CASE("a log that is truncated anywhere loses only incomplete batches")
{
    // Guards against a crash during a write after which the process cannot start any more, synced
    // batches are lost or half a batch is loaded.
    temporary_folder folder;
    auto const [bytes, ends] = write_batches(folder.path);
    for (std::size_t size = 0; size < bytes.size(); ++size)
    {
        write_bytes(folder.path + first_segment, bytes.substr(0, size));
        INFO("truncated to " << size << " bytes");
        if (size < ends[0])
        {
            // Cannot result from a crash: the header and the first record are written before the
            // file is renamed to its name.
            CHECK_THROWS_WITH(load(folder.path), Contains(first_segment) && Contains("offset"));
            continue;
        }
        auto const complete_batches =
            std::upper_bound(ends.begin(), ends.end(), size) - ends.begin() - 1;
        {
            file_log_store store(folder.path);
            REQUIRE(store.load().entries.size() == static_cast<std::size_t>(complete_batches));
            store.save(make_hard_state(2, 0), {make_entry(complete_batches + 1, 2)}, true);
        }
        REQUIRE(load(folder.path).entries.back() == make_entry(complete_batches + 1, 2));
    }
}

TEST_CASE("a flipped bit is never loaded as valid data")
{
    // Guards against silent corruption: damage before a valid batch must be an error.
    temporary_folder folder;
    auto const [bytes, ends] = write_batches(folder.path);
    auto const last_batch = ends[ends.size() - 2];
    for (std::size_t offset = 0; offset < bytes.size(); ++offset)
    {
        auto damaged = bytes;
        damaged[offset] = static_cast<char>(damaged[offset] ^ (1 << (offset % 8)));
        write_bytes(folder.path + first_segment, damaged);
        INFO("byte " << offset);
        if (offset >= last_batch)
            REQUIRE(load(folder.path).entries.size() == 4);
        else
            REQUIRE_THROWS_WITH(load(folder.path), Contains(first_segment + ": offset "));
    }
}

TEST_CASE("an error about damage names file and offset in every segment")
{
    // Guards against an error from which an operator cannot tell which file is damaged.
    temporary_folder folder;
    {
        file_log_store store(folder.path, {100});
        store.load();
        store.save_snapshot(snapshot_at(3, 1));
        for (std::uint64_t index = 4; index <= 9; ++index)
            store.save(make_hard_state(1, 3), {make_entry(index, 1)}, true);
    }
    auto const file = folder.path + GENERATE(std::string("/log-00000000000000000003"),
                                             std::string("/snapshot-00000000000000000003-1"));
    auto bytes = read_bytes(file);
    REQUIRE(bytes.size() > 40);
    bytes[40] ^= 1;
    write_bytes(file, bytes);
    CHECK_THROWS_WITH(load(folder.path), Contains(file) && Contains("offset"));
    std::filesystem::remove(file);
    CHECK_THROWS_WITH(load(folder.path), Contains(file));
}

TEST_CASE("a snapshot removes old files and a crash before its checkpoint leaves the old state")
{
    // Guards against a disk that fills up, and against an incomplete snapshot that is loaded.
    temporary_folder folder;
    {
        file_log_store store(folder.path, {100});
        store.load();
        for (std::uint64_t index = 1; index <= 9; ++index)
            store.save(make_hard_state(1, 0), {make_entry(index, 1)}, true);
        store.save_snapshot(snapshot_at(8, 1));
    }
    // Three files: the lock, one segment and one snapshot.
    auto const count = [&]
    {
        return std::distance(std::filesystem::directory_iterator(folder.path),
                             std::filesystem::directory_iterator());
    };
    CHECK(count() == 3);
    write_bytes(folder.path + "/snapshot-00000000000000000009-1", "half");
    write_bytes(folder.path + "/log-00000000000000000099.tmp", "half");
    auto const state = load(folder.path);
    CHECK(state.snapshot == snapshot_at(8, 1));
    CHECK(state.entries == std::vector{make_entry(9, 1)});
    CHECK(count() == 3);
}

TEST_CASE("a snapshot that conflicts with the log removes all log entries")
{
    // Guards against entries of a replaced leader that reappear after a restart.
    temporary_folder folder;
    {
        file_log_store store(folder.path);
        store.load();
        store.save(make_hard_state(1, 0), {make_entry(1, 1), make_entry(2, 1), make_entry(3, 1)},
                   true);
        store.save_snapshot(snapshot_at(2, 2));
    }
    CHECK(load(folder.path).entries.empty());
}

TEST_CASE("a data folder is locked against a second store")
{
    // Guards against two processes that write to the same log.
    temporary_folder folder;
    file_log_store store(folder.path);
    CHECK_THROWS_WITH(file_log_store(folder.path), Contains(folder.path) && Contains("in use"));
}

TEST_CASE("an unwritable folder and a full disk give clear errors")
{
    // Guards against an error without the file, and against a store that is used after a failed
    // write.
    temporary_folder folder;
    write_bytes(folder.path + "/file", "");
    CHECK_THROWS_WITH(file_log_store(folder.path + "/file/data"),
                      Contains("/file/data: cannot be created"));
    CHECK_THROWS_WITH(file_log_store("/proc"), Contains("/proc/lock: cannot be opened"));

    // A limit on the file size simulates a full disk.
    ::signal(SIGXFSZ, SIG_IGN);
    file_log_store store(folder.path);
    store.load();
    rlimit original_limit{};
    ::getrlimit(RLIMIT_FSIZE, &original_limit);
    rlimit const reduced_limit{500, original_limit.rlim_max};
    ::setrlimit(RLIMIT_FSIZE, &reduced_limit);
    std::string save_error;
    std::string second;
    try
    {
        store.save(make_hard_state(1, 0), {make_entry(1, 1, std::string(1000, 'x'))}, true);
    }
    catch (storage_error const& problem)
    {
        save_error = problem.what();
    }
    ::setrlimit(RLIMIT_FSIZE, &original_limit);
    CHECK_THAT(save_error, Contains(first_segment + ": cannot be written: "));
    CHECK_THROWS_WITH(store.save(make_hard_state(1, 0), {make_entry(1, 1)}, true),
                      Contains("an earlier write has failed"));
}

TEST_CASE("a voter id is kept as long as the log exists")
{
    // Guards against a node that votes under its old id after it has lost its log.
    temporary_folder folder;
    seeded_random random(1);
    auto const open = [&](char const* vm)
    {
        file_log_store store(folder.path);
        auto const id = store.open_voter_id(vm_id(vm), random);
        store.load();
        return id;
    };
    auto const first = open("vm1");
    CHECK(vm_of(first) == vm_id("vm1"));
    CHECK(open("vm1") == first);
    CHECK_THROWS_WITH(open("vm2"), Contains("belongs to VM vm1"));
    std::filesystem::remove(folder.path + first_segment);
    CHECK(open("vm1") != first);
    std::filesystem::remove(folder.path + "/voter");
    CHECK_THROWS_WITH(open("vm1"), Contains("/voter: cannot be read"));
}

TEST_CASE("the memory store loses what was not synced")
{
    // Guards against a simulated loss of power that keeps data which a disk would lose.
    memory_log_store store;
    store.save(make_hard_state(1, 0), {make_entry(1, 1)}, true);
    store.save(make_hard_state(1, 1), {}, false);
    CHECK(store.load().hard_state == make_hard_state(1, 1));
    store.discard_unsynced();
    CHECK(store.load().hard_state == make_hard_state(1, 0));
    CHECK(store.load().entries.size() == 1);
}
