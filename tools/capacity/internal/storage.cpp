#include <filesystem>

#include <unistd.h>

#include <lagoonladder/storage.hpp>
#include <lagoonladder/version.hpp>

#include "measurement.hpp"
#include "rows.hpp"
#include "sections.hpp"

namespace lagoonladder::capacity
{

namespace
{

/// Folder that is removed with its content when the measurement ends.
class temporary_folder
{
public:
    temporary_folder()
        : path(std::filesystem::temp_directory_path() /
               ("lagoonladder-capacity-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directory(this->path);
    }
    ~temporary_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(this->path, ignored);
    }
    temporary_folder(temporary_folder const&) = delete;
    temporary_folder& operator=(temporary_folder const&) = delete;

    std::uint64_t bytes() const
    {
        std::uint64_t sum = 0;
        for (auto const& file : std::filesystem::recursive_directory_iterator(this->path))
            if (file.is_regular_file())
                sum += file.file_size();
        return sum;
    }

    std::filesystem::path path;
};

/// Returns the change with the given number. Every hundredth one stores a configuration; the
/// others alternately begin and finish at-most-once calls.
version::command make_change(std::size_t number)
{
    auto const now = start_wall_time() + milliseconds(number);
    if (number % 100 == 0)
    {
        version::apply_configuration body;
        body.base = generation(number / 100);
        body.file = "site.ini";
        body.text = make_configuration(10, number / 100);
        body.operation = operation_id("op-" + std::to_string(number));
        return {now, body};
    }
    if (number % 2 == 1)
        return {now, make_begin(number / 2, now)};
    return {now, make_finish(number / 2 - 1)};
}

struct written_sizes
{
    std::uint64_t log_entry_bytes = 0;
    std::uint64_t snapshot_bytes = 0;
};

consensus::membership make_members()
{
    consensus::membership members;
    members.voters[consensus::make_voter_id(vm_id("vm-00001"), 1)] =
        network_address("10.0.0.1:8001");
    return members;
}

/// Initializes the store of the first voter. Returns the index of the first log entry.
std::uint64_t initialize_store(storage::file_log_store& store)
{
    seeded_random random(6);
    store.open_voter_id(vm_id("vm-00001"), random);
    store.load();
    auto const founding_state = consensus::founding_state(make_members());
    store.save_snapshot(founding_state.snapshot.value());
    return founding_state.snapshot->index.value() + 1;
}

/// Writes the changes in batches, as a voter does, with a snapshot after each 10,000 entries
/// when `with_snapshots` is set.
written_sizes write_changes(std::string const& folder, std::size_t changes, bool with_snapshots)
{
    constexpr std::size_t batch = 500;
    constexpr std::size_t snapshot_after = 10'000;
    consensus::term_number const term(1);
    storage::file_log_store store(folder);
    auto const first = initialize_store(store);
    version::control_state state;
    written_sizes out;
    std::vector<consensus::log_entry> entries;
    for (std::size_t i = 0; i < changes; ++i)
    {
        auto const change = make_change(i);
        consensus::log_index const index(first + i);
        entries.push_back({index, term, consensus::entry_kind::command, version::encode(change)});
        out.log_entry_bytes += entries.back().data.size();
        state.apply(index.value(), change);
        if (entries.size() < batch && i + 1 < changes)
            continue;
        store.save(consensus::hard_state{term, {}, index}, entries, true);
        entries.clear();
        if (!with_snapshots || (i + 1) % snapshot_after != 0)
            continue;
        auto const data = state.snapshot();
        out.snapshot_bytes = data.size();
        store.save_snapshot({index, term, make_members(), data});
    }
    return out;
}

void measure_restart_case(std::size_t changes, bool with_snapshots)
{
    temporary_folder folder;
    auto const sizes = write_changes(folder.path, changes, with_snapshots);
    std::uint64_t replayed = 0;
    double load_time = 0;
    auto const restart_time = median_microseconds(
        3, 1,
        [&]
        {
            consensus::persistent_state loaded_state;
            load_time = median_microseconds(1, 1,
                                            [&]
                                            {
                                                storage::file_log_store store(folder.path);
                                                loaded_state = store.load();
                                            });
            version::control_state state;
            if (loaded_state.snapshot && !loaded_state.snapshot->data.empty())
                state.restore(loaded_state.snapshot->data);
            replayed = loaded_state.entries.size();
            for (auto const& entry : loaded_state.entries)
                if (entry.kind == consensus::entry_kind::command)
                    state.apply(entry.index.value(), version::decode_command(entry.data));
        });
    print_figure(with_snapshots ? "restart.snapshots" : "restart.log_only",
                 std::to_string(changes) + " changes",
                 {{"disk_bytes", folder.bytes()},
                  {"command_bytes", sizes.log_entry_bytes},
                  {"snapshot_bytes", sizes.snapshot_bytes},
                  {"replayed", static_cast<double>(replayed)},
                  {"load_ms", load_time / 1000},
                  {"restart_ms", restart_time / 1000}});
}

} // namespace

void measure_at_most_once_records()
{
    constexpr std::size_t records = 10'000;
    auto const now = start_wall_time();
    auto const before = resident_kib();
    version::control_state state;
    std::uint64_t index = 0;
    auto const empty_size = state.snapshot().size();
    for (std::size_t i = 0; i < records; ++i)
    {
        state.apply(++index, {now, make_begin(i, now)});
        state.apply(++index, {now, make_finish(i)});
    }
    auto const growth = static_cast<double>(resident_kib()) - static_cast<double>(before);
    auto const bytes = static_cast<double>(state.snapshot().size() - empty_size);
    auto const snapshot_time = median_microseconds(3, 1, [&] { state.snapshot(); });
    print_figure(
        "once.record", std::to_string(records) + " records",
        {{"snapshot_bytes_each", bytes / records},
         {"memory_growth_kib", growth},
         {"snapshot_us", snapshot_time},
         {"begin_entry_bytes", version::encode(version::command{now, make_begin(1, now)}).size()},
         {"finish_entry_bytes", version::encode(version::command{now, make_finish(1)}).size()}});
    std::size_t next = records;
    auto const apply_time =
        median_microseconds(9, 1000,
                            [&]
                            {
                                state.apply(++index, {now, make_begin(next, now)});
                                state.apply(++index, {now, make_finish(next++)});
                            });
    print_figure("once.apply", "begin and finish", {{"us", apply_time}});
}

void measure_restart()
{
    for (std::size_t const changes : {300, 100'000})
        for (bool const with_snapshots : {false, true})
            measure_restart_case(changes, with_snapshots);
}

} // namespace lagoonladder::capacity
