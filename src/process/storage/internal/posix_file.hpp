#ifndef LAGOONLADDER_STORAGE_POSIX_FILE_HPP
#define LAGOONLADDER_STORAGE_POSIX_FILE_HPP

#include <string>

#include <lagoonladder/storage/log_store.hpp>

namespace lagoonladder::storage
{

/// An open file. All functions throw storage_error with the path and the error text of the system.
class posix_file
{
public:
    /// `flags`: as for open(2).
    posix_file(std::string path, int flags);
    ~posix_file();
    posix_file(posix_file const&) = delete;
    posix_file& operator=(posix_file const&) = delete;

    void append(std::string const& bytes);
    void sync();
    void truncate(std::uint64_t size);
    /// Locks the file exclusively. Returns false if another process holds the lock.
    bool try_lock();

    std::string const& path() const { return this->file_path; }

private:
    [[noreturn]] void throw_error(std::string const& action) const;

    std::string file_path;
    int descriptor;
};

/// Returns the content of a file. Throws storage_error if it cannot be read.
std::string read_file(std::string const& path);

/// Writes and syncs a temporary file, renames it and syncs the folder, so that after a crash the
/// file is either complete or unchanged.
void write_file_durably(std::string const& folder, std::string const& name,
                        std::string const& bytes);

/// Syncs the directory entries of a folder.
void sync_folder(std::string const& folder);

} // namespace lagoonladder::storage

#endif
