#include "posix_file_system.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>

namespace lagoonladder::storage
{

namespace
{

std::string system_error_text()
{
    return std::generic_category().message(errno);
}

class posix_file : public file, public file_lock
{
public:
    /// `flags`: as for open(2).
    posix_file(std::string path, int flags)
        : file_path(std::move(path))
        , descriptor(::open(this->file_path.c_str(), flags | O_CLOEXEC, 0600))
    {
        if (this->descriptor < 0)
            this->throw_error("cannot be opened");
    }
    ~posix_file() override { ::close(this->descriptor); }
    posix_file(posix_file const&) = delete;
    posix_file& operator=(posix_file const&) = delete;

    void append(std::string const& bytes) override
    {
        for (std::size_t written = 0; written < bytes.size();)
        {
            auto const count =
                ::write(this->descriptor, bytes.data() + written, bytes.size() - written);
            if (count < 0 && errno == EINTR)
                continue;
            if (count < 0)
                this->throw_error("cannot be written");
            written += static_cast<std::size_t>(count);
        }
    }

    void sync() override
    {
        if (::fsync(this->descriptor) != 0)
            this->throw_error("cannot be synced");
    }

    void truncate(std::uint64_t size) override
    {
        if (::ftruncate(this->descriptor, static_cast<off_t>(size)) != 0)
            this->throw_error("cannot be truncated");
    }

    /// Locks the file exclusively. Returns false if another process holds the lock.
    bool try_lock()
    {
        if (::flock(this->descriptor, LOCK_EX | LOCK_NB) == 0)
            return true;
        if (errno != EWOULDBLOCK)
            this->throw_error("cannot be locked");
        return false;
    }

private:
    [[noreturn]] void throw_error(std::string const& action) const
    {
        throw storage_error(this->file_path + ": " + action + ": " + system_error_text());
    }

    std::string file_path;
    int descriptor;
};

} // namespace

bool posix_file_system::exists(std::string const& path)
{
    std::error_code problem;
    return std::filesystem::exists(path, problem);
}

bool posix_file_system::is_writable(std::string const& folder)
{
    return ::access(folder.c_str(), R_OK | W_OK) == 0;
}

void posix_file_system::create_folder(std::string const& path)
{
    std::error_code problem;
    std::filesystem::create_directory(path, problem);
    if (problem)
        throw storage_error(path + ": cannot be created: " + problem.message());
}

std::unique_ptr<file> posix_file_system::open(std::string const& path, open_mode mode)
{
    auto const mode_flags = mode == open_mode::append ? O_APPEND : O_CREAT | O_TRUNC;
    return std::make_unique<posix_file>(path, O_WRONLY | mode_flags);
}

std::unique_ptr<file_lock> posix_file_system::lock(std::string const& path)
{
    auto lock_file = std::make_unique<posix_file>(path, O_RDWR | O_CREAT);
    if (!lock_file->try_lock())
        return nullptr;
    return lock_file;
}

std::string posix_file_system::read(std::string const& path)
{
    std::ifstream input(path, std::ios::binary);
    std::string bytes;
    if (input)
        bytes.assign(std::istreambuf_iterator<char>(input), std::istreambuf_iterator<char>());
    if (!input || input.bad())
        throw storage_error(path + ": cannot be read: " + system_error_text());
    return bytes;
}

void posix_file_system::rename(std::string const& from, std::string const& to)
{
    if (std::rename(from.c_str(), to.c_str()) != 0)
        throw storage_error(from + ": cannot be renamed: " + system_error_text());
}

void posix_file_system::remove(std::string const& path)
{
    std::error_code problem;
    std::filesystem::remove(path, problem);
    if (problem)
        throw storage_error(path + ": cannot be removed: " + problem.message());
}

std::vector<std::string> posix_file_system::list(std::string const& folder)
{
    std::error_code problem;
    std::vector<std::string> names;
    for (std::filesystem::directory_iterator file(folder, problem), end; !problem && file != end;
         file.increment(problem))
        names.push_back(file->path().filename().string());
    if (problem)
        throw storage_error(folder + ": cannot be listed: " + problem.message());
    return names;
}

void posix_file_system::sync_folder(std::string const& folder)
{
    posix_file(folder, O_RDONLY | O_DIRECTORY).sync();
}

} // namespace lagoonladder::storage
