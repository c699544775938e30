#ifndef LAGOONLADDER_STORAGE_POSIX_FILE_HPP
#define LAGOONLADDER_STORAGE_POSIX_FILE_HPP

#include <string>

#include <lagoonladder/storage/log_store.hpp>

namespace lagoonladder::storage
{

/// Open file. All functions throw storage_error with the path and the system's reason.
class posix_file
{
public:
    /// `flags` as for open(2).
    posix_file(std::string path, int flags);
    ~posix_file();
    posix_file(posix_file const&) = delete;
    posix_file& operator=(posix_file const&) = delete;

    void append(std::string const& bytes);
    void sync();
    void truncate(std::uint64_t size);
    /// False when another process holds the lock.
    bool try_lock();

    std::string const& path() const { return this->name; }

private:
    [[noreturn]] void fail(std::string const& action) const;

    std::string name;
    int descriptor;
};

/// Throws storage_error when the file cannot be read.
std::string read_file(std::string const& path);

/// Writes to a temporary name, syncs, renames and syncs the folder, so that the
/// file is either absent or complete after a crash.
void write_file_durably(std::string const& folder, std::string const& name,
                        std::string const& bytes);

void sync_folder(std::string const& folder);

} // namespace lagoonladder::storage

#endif
