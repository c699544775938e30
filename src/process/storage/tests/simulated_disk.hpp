#ifndef LAGOONLADDER_STORAGE_SIMULATED_DISK_HPP
#define LAGOONLADDER_STORAGE_SIMULATED_DISK_HPP

#include <map>
#include <set>
#include <variant>

#include <lagoonladder/base/random.hpp>

#include "file_system.hpp"

/// Thrown by an operation of a process that is killed. Not an exception of the library, so that
/// no handler of an error takes it for one.
struct process_killed
{
};

/// A disk in memory that separates what was written from what was synced. It outlives the
/// processes that use it.
class simulated_disk
{
public:
    explicit simulated_disk(lagoonladder::random_source& initial_random);

    /// What remains of unsynced operations after a loss of power.
    enum class unsynced
    {
        /// Each write is present, missing or torn; each change of a name is kept or lost.
        random,
        lost,
        /// Only removals of names are kept.
        removals
    };

    /// Files for a new process.
    std::shared_ptr<lagoonladder::storage::file_system> start_process();
    /// Ends the process at the operation after `operations` further ones.
    void kill_after(std::uint64_t operations);
    /// Either syncs of files or writes fail with this probability, and so do all other operations
    /// except reads.
    void set_failures(bool fails_syncs, double probability)
    {
        this->reliable_operation = fails_syncs ? operation::write : operation::sync;
        this->failure_probability = probability;
    }
    void fail_next_sync() { this->fails_next_sync = true; }
    /// A full disk refuses new files, appended bytes and truncations.
    void set_full(bool full) { this->is_full = full; }
    /// To be called when no process runs.
    void lose_power(unsynced remainder);

    /// Number of operations that have failed.
    std::uint64_t failures() const { return this->failure_count; }
    /// Number of operations of the process that was started last, without reads.
    std::uint64_t operations() const { return this->operation_count; }
    bool is_process_killed() const { return this->killed; }
    /// Names of the files, in ascending order.
    std::vector<std::string> names() const;

private:
    friend class simulated_file;
    friend class simulated_file_system;

    struct write_operation
    {
        std::uint64_t offset = 0;
        std::string bytes;
    };
    struct truncation
    {
        std::uint64_t size = 0;
    };
    using change = std::variant<write_operation, truncation>;

    struct inode
    {
        /// Content as a process reads it.
        std::string content;
        /// Content after a loss of power, without the unsynced changes.
        std::string durable;
        std::vector<change> unsynced_changes;
    };
    using names_map = std::map<std::string, std::shared_ptr<inode>>;

    enum class operation
    {
        write,
        sync,
        other
    };

    /// Counts an operation. Throws process_killed or storage_error if it is not to be completed.
    void begin(operation kind, std::string const& path, std::string const& action);
    [[noreturn]] void fail(std::string const& path, std::string const& action);
    bool chance(double probability) { return this->random.unit() < probability; }
    void append(std::string const& path, inode& target, std::string const& bytes);
    void sync(std::string const& path, std::shared_ptr<inode> const& target);
    void truncate(std::string const& path, inode& target, std::uint64_t size);
    static void apply(std::string& content, change const& applied);
    /// Stores a random part of the unsynced changes.
    void store_part(inode& target);
    void store_part_of_names();
    /// Removes files and folders whose folder is lost.
    void remove_orphans();

    lagoonladder::random_source& random;
    names_map current;
    names_map durable;
    std::set<std::string> folders{"/"};
    std::set<std::string> durable_folders{"/"};
    double failure_probability = 0;
    operation reliable_operation = operation::sync;
    bool fails_next_sync = false;
    bool is_full = false;
    bool killed = false;
    std::uint64_t operation_count = 0;
    std::uint64_t kill_at = UINT64_MAX;
    std::uint64_t failure_count = 0;
};

#endif
