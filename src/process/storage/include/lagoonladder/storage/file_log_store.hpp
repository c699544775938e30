#ifndef LAGOONLADDER_STORAGE_FILE_LOG_STORE_HPP
#define LAGOONLADDER_STORAGE_FILE_LOG_STORE_HPP

#include <memory>
#include <string>

#include <lagoonladder/storage/log_store.hpp>

namespace lagoonladder::storage
{

struct file_log_store_options
{
    /// A segment that has grown beyond this is closed and a new one begun, in bytes.
    std::uint64_t segment_bytes = 8 * 1024 * 1024;
};

class posix_file;
class data_folder;

/// Write-ahead log in segment files, and snapshot files, below one data folder.
/// The folder is created when missing and locked while the store exists. Every
/// record is synced before the next one is written, so that a damaged record
/// with a good one behind it is never the result of a crash.
class file_log_store : public log_store
{
public:
    /// Throws storage_error when the folder cannot be written or is in use by
    /// another process.
    explicit file_log_store(std::string folder, file_log_store_options options = {});
    ~file_log_store() override;

    using log_store::save;

    /// Voter id kept in the folder. Draws a new incarnation when the folder holds
    /// no log, since a node that has lost its log must not vote under its old id.
    /// To be called before load(). Throws storage_error when the id belongs to
    /// another VM or is missing although there is a log. `random` must differ from
    /// start to start.
    consensus::voter_id open_voter_id(vm_id const& vm, random_source& random);

    /// Truncates a torn record at the end of the log. Throws storage_error for any other damage.
    consensus::persistent_state load() override;
    void save(std::optional<consensus::hard_state> const& state,
              std::vector<consensus::log_entry> const& entries, bool must_sync) override;
    void save_snapshot(consensus::snapshot const& state) override;

private:
    consensus::persistent_state read_segments();
    void read_segment(std::uint64_t number, bool last);
    void apply(std::string const& payload);
    void append_record(std::string const& payload);
    void begin_segment(bool checkpoint);
    void require_usable() const;

    file_log_store_options options;
    std::unique_ptr<data_folder> folder;
    std::unique_ptr<posix_file> segment;
    std::uint64_t segment_number = 0;
    std::uint64_t segment_size = 0;
    /// The data of the snapshot stays on disk.
    consensus::persistent_state current;
    bool usable = false;
};

} // namespace lagoonladder::storage

#endif
