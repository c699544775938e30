#ifndef LAGOONLADDER_STORAGE_FILE_LOG_STORE_HPP
#define LAGOONLADDER_STORAGE_FILE_LOG_STORE_HPP

#include <memory>
#include <string>

#include <lagoonladder/storage/log_store.hpp>

namespace lagoonladder::storage
{

struct file_log_store_options
{
    /// A new segment is started once the current one has reached this size, in bytes.
    std::uint64_t segment_bytes = 8 * 1024 * 1024;
};

class data_folder;
class file;
class file_system;

/// Log store in a data folder: a write-ahead log in segment files, and snapshot files.
/// The folder is created if it does not exist and is locked while the store exists. Every
/// record is synced before the next one is written, so that a damaged record that is followed
/// by a valid one is never the result of a crash.
class file_log_store : public log_store
{
public:
    /// Throws storage_error if the folder cannot be written or is in use by another process.
    explicit file_log_store(std::string folder, file_log_store_options options = {});
    /// As above, on other files than those of the operating system.
    file_log_store(std::shared_ptr<file_system> files, std::string folder,
                   file_log_store_options options = {});
    ~file_log_store() override;

    using log_store::save;

    /// Returns the voter id that is stored in the folder. If the folder has no log, creates an id
    /// with a new incarnation, since a node that has lost its log must not vote under its old id.
    /// To be called before load(). Throws storage_error if the stored id belongs to another VM, or
    /// is missing although there is a log. `random` must yield other numbers at each start of the
    /// process.
    consensus::voter_id open_voter_id(vm_id const& vm, random_source& random);

    /// Loads the log and stores it again, since an earlier process, or a failed save, may have left
    /// files that can be read but are not durable. Discards an incomplete record at its end; throws
    /// storage_error for any other damage.
    consensus::persistent_state load() override;
    void save(std::optional<consensus::hard_state> const& state,
              std::vector<consensus::log_entry> const& entries, bool must_sync) override;
    void save_snapshot(consensus::snapshot const& state) override;

private:
    consensus::persistent_state read_segments();
    struct segment_content
    {
        /// Header and valid records.
        std::string valid_bytes;
        /// Whether an incomplete record follows.
        bool is_torn = false;
    };

    segment_content read_segment(std::uint64_t number, bool is_last);
    /// Makes the last segment durable and opens it. Writes a copy, since a sync does not store what
    /// an earlier, failed one has left in the page cache. On a full disk, the segment itself is
    /// truncated and synced.
    void store_segment(std::uint64_t number, segment_content const& content);
    void sync_loaded_segment(segment_content const& content);
    /// Writes the temporary file of a segment. Returns null if the disk refuses it and the segment
    /// itself may be synced instead.
    std::unique_ptr<file> write_copy(std::string const& path, std::string const& bytes);
    void sync_segment();
    void apply_record(std::string const& payload);
    void append_record(std::string const& payload);
    /// Removes a record whose sync failed, since the next process could not tell it from a stored
    /// one.
    void discard_record();
    void begin_segment(bool is_checkpoint);
    void require_usable() const;

    file_log_store_options options;
    std::unique_ptr<data_folder> folder;
    std::unique_ptr<file> segment;
    std::uint64_t segment_number = 0;
    std::uint64_t segment_size = 0;
    /// State as stored, without the data of the snapshot, which is only on disk.
    consensus::persistent_state current_state;
    /// Whether the last sync of the segment failed.
    bool has_failed_sync = false;
    /// False before load() and after a failed write.
    bool is_usable = false;
};

} // namespace lagoonladder::storage

#endif
