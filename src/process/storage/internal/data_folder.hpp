#ifndef LAGOONLADDER_STORAGE_DATA_FOLDER_HPP
#define LAGOONLADDER_STORAGE_DATA_FOLDER_HPP

#include <set>

#include "file_system.hpp"

namespace lagoonladder::storage
{

/// A data folder: the names of its files, and the lock on it.
class data_folder
{
public:
    /// Creates the folder if it does not exist and locks it. Throws storage_error.
    data_folder(std::shared_ptr<file_system> initial_files, std::string initial_path);

    file_system& files() const { return *this->file_operations; }

    /// Path of a file in the folder.
    std::string file_path(std::string const& name) const { return this->path + "/" + name; }
    /// Path of the folder.
    std::string const& folder_path() const { return this->path; }

    static std::string segment_name(std::uint64_t number);
    static std::string snapshot_name(consensus::log_index index, consensus::term_number term);

    /// Numbers of the segment files, in ascending order.
    std::set<std::uint64_t> segment_numbers() const;

    /// Removes segments before `first_segment`, all snapshots except `snapshot`, and temporary
    /// files.
    void remove_obsolete(std::uint64_t first_segment, std::string const& snapshot) const;

private:
    std::shared_ptr<file_system> file_operations;
    std::string path;
    std::unique_ptr<file_lock> lock;
};

} // namespace lagoonladder::storage

#endif
