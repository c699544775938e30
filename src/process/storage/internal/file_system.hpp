#ifndef LAGOONLADDER_STORAGE_FILE_SYSTEM_HPP
#define LAGOONLADDER_STORAGE_FILE_SYSTEM_HPP

#include <memory>
#include <string>
#include <vector>

#include <lagoonladder/storage/log_store.hpp>

namespace lagoonladder::storage
{

/// An open file. All functions throw storage_error with the path.
class file
{
public:
    virtual ~file() = default;

    /// Writes all bytes at the end of the file. A failed call may have written some of them.
    virtual void append(std::string const& bytes) = 0;
    /// Makes the content durable. After a failed call, a later one does not cover the same writes:
    /// the kernel may have discarded them.
    virtual void sync() = 0;
    /// Sets the length of the file, in bytes.
    virtual void truncate(std::uint64_t size) = 0;
};

/// Exclusive lock on a file, which ends with the object.
class file_lock
{
public:
    virtual ~file_lock() = default;
};

enum class open_mode
{
    /// Appends to an existing file.
    append,
    /// Creates the file or discards its content.
    replace
};

/// The file operations of the storage library. A completed operation is visible to all processes,
/// but it survives a loss of power only if the file, or the folder for a name, has been synced.
/// All functions throw storage_error with the path.
class file_system
{
public:
    virtual ~file_system() = default;

    virtual bool exists(std::string const& path) = 0;
    /// Whether this process may create files in the folder and sync it.
    virtual bool is_writable(std::string const& folder) = 0;
    /// Creates a folder in an existing one.
    virtual void create_folder(std::string const& path) = 0;
    virtual std::unique_ptr<file> open(std::string const& path, open_mode mode) = 0;
    /// Creates the file if it does not exist. Returns null if another process holds the lock.
    virtual std::unique_ptr<file_lock> lock(std::string const& path) = 0;
    virtual std::string read(std::string const& path) = 0;
    /// Replaces `to` if it exists.
    virtual void rename(std::string const& from, std::string const& to) = 0;
    virtual void remove(std::string const& path) = 0;
    /// Names of the files in a folder, in any order.
    virtual std::vector<std::string> list(std::string const& folder) = 0;
    /// Makes created, renamed and removed names of a folder durable.
    virtual void sync_folder(std::string const& folder) = 0;
};

/// Path of the temporary file from which a file is replaced.
std::string temporary_path(std::string const& path);

/// Syncs the temporary file of `path`, renames it and syncs the folder.
void publish_temporary(file_system& files, file& temporary, std::string const& folder,
                       std::string const& path);

/// Writes and syncs a temporary file, renames it and syncs the folder, so that after a crash the
/// file is either complete or unchanged.
void write_file_durably(file_system& files, std::string const& folder, std::string const& name,
                        std::string const& bytes);

} // namespace lagoonladder::storage

#endif
