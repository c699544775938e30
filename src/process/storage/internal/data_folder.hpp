#ifndef LAGOONLADDER_STORAGE_DATA_FOLDER_HPP
#define LAGOONLADDER_STORAGE_DATA_FOLDER_HPP

#include <memory>
#include <set>

#include "posix_file.hpp"

namespace lagoonladder::storage
{

/// Names of the files of one data folder, and its lock.
class data_folder
{
public:
    /// Creates the folder when missing and locks it. Throws storage_error.
    explicit data_folder(std::string path);

    std::string file(std::string const& name) const { return this->path + "/" + name; }
    std::string const& name() const { return this->path; }

    static std::string segment_name(std::uint64_t number);
    static std::string snapshot_name(consensus::log_index index, consensus::term_number term);

    /// Numbers of the segment files, in order.
    std::set<std::uint64_t> segments() const;

    /// Removes segments before `first_segment`, other snapshots than `snapshot`
    /// and temporary files.
    void remove_obsolete(std::uint64_t first_segment, std::string const& snapshot) const;

private:
    std::string path;
    std::unique_ptr<posix_file> lock;
};

} // namespace lagoonladder::storage

#endif
