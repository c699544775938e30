#include "posix_file.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
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

} // namespace

posix_file::posix_file(std::string path, int flags)
    : file_path(std::move(path))
    , descriptor(::open(this->file_path.c_str(), flags | O_CLOEXEC, 0600))
{
    if (this->descriptor < 0)
        this->throw_error("cannot be opened");
}

posix_file::~posix_file()
{
    ::close(this->descriptor);
}

void posix_file::throw_error(std::string const& action) const
{
    throw storage_error(this->file_path + ": " + action + ": " + system_error_text());
}

void posix_file::append(std::string const& bytes)
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

// A failed sync must not be repeated: the kernel may have discarded the dirty pages, and a second
// call would then report success although the data is lost.
void posix_file::sync()
{
    if (::fsync(this->descriptor) != 0)
        this->throw_error("cannot be synced");
}

void posix_file::truncate(std::uint64_t size)
{
    if (::ftruncate(this->descriptor, static_cast<off_t>(size)) != 0)
        this->throw_error("cannot be truncated");
}

bool posix_file::try_lock()
{
    if (::flock(this->descriptor, LOCK_EX | LOCK_NB) == 0)
        return true;
    if (errno != EWOULDBLOCK)
        this->throw_error("cannot be locked");
    return false;
}

std::string read_file(std::string const& path)
{
    std::ifstream input(path, std::ios::binary);
    std::string bytes;
    if (input)
        bytes.assign(std::istreambuf_iterator<char>(input), std::istreambuf_iterator<char>());
    if (!input || input.bad())
        throw storage_error(path + ": cannot be read: " + system_error_text());
    return bytes;
}

void write_file_durably(std::string const& folder, std::string const& name,
                        std::string const& bytes)
{
    auto const target = folder + "/" + name;
    auto const temporary = target + ".tmp";
    {
        posix_file file(temporary, O_WRONLY | O_CREAT | O_TRUNC);
        file.append(bytes);
        file.sync();
    }
    if (std::rename(temporary.c_str(), target.c_str()) != 0)
        throw storage_error(temporary + ": cannot be renamed: " + system_error_text());
    sync_folder(folder);
}

void sync_folder(std::string const& folder)
{
    posix_file(folder, O_RDONLY | O_DIRECTORY).sync();
}

} // namespace lagoonladder::storage
