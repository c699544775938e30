#ifndef LAGOONLADDER_STORAGE_POSIX_FILE_SYSTEM_HPP
#define LAGOONLADDER_STORAGE_POSIX_FILE_SYSTEM_HPP

#include "file_system.hpp"

namespace lagoonladder::storage
{

/// The files of the operating system. Error messages include the error text of the system.
class posix_file_system : public file_system
{
public:
    bool exists(std::string const& path) override;
    bool is_writable(std::string const& folder) override;
    void create_folder(std::string const& path) override;
    std::unique_ptr<file> open(std::string const& path, open_mode mode) override;
    std::unique_ptr<file_lock> lock(std::string const& path) override;
    std::string read(std::string const& path) override;
    void rename(std::string const& from, std::string const& to) override;
    void remove(std::string const& path) override;
    std::vector<std::string> list(std::string const& folder) override;
    void sync_folder(std::string const& folder) override;
};

} // namespace lagoonladder::storage

#endif
