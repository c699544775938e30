#include "data_folder.hpp"

#include <algorithm>
#include <filesystem>

namespace lagoonladder::storage
{

namespace
{

constexpr std::string_view segment_prefix = "log-";
constexpr std::string_view snapshot_prefix = "snapshot-";
constexpr std::string_view temporary_suffix = ".tmp";

/// File name with a number of 20 digits, so that names sort by number.
std::string numbered_file_name(std::string_view prefix, std::uint64_t number)
{
    auto const digits = std::to_string(number);
    return std::string(prefix) + std::string(20 - digits.size(), '0') + digits;
}

std::string parent_folder(std::string const& path)
{
    auto const parent = std::filesystem::path(path).parent_path();
    return parent.empty() ? "." : parent.string();
}

/// Creates a folder and its missing parents durably.
void create_folders(file_system& files, std::string const& path)
{
    if (files.exists(path))
        return;
    create_folders(files, parent_folder(path));
    files.create_folder(path);
    files.sync_folder(parent_folder(path));
}

/// Syncs all folders above `path` in which this process could have created a folder.
void sync_parents(file_system& files, std::string const& path)
{
    auto child = path;
    for (auto folder = parent_folder(path); folder != child; folder = parent_folder(folder))
    {
        if (files.is_writable(folder))
            files.sync_folder(folder);
        child = folder;
    }
}

} // namespace

data_folder::data_folder(std::shared_ptr<file_system> initial_files, std::string initial_path)
    : file_operations(std::move(initial_files))
    , path(std::move(initial_path))
{
    create_folders(this->files(), this->path);
    this->lock = this->files().lock(this->file_path("lock"));
    if (!this->lock)
        throw storage_error(this->path + ": the data folder is in use by another process");
    // An earlier process may have been killed between the creation of a folder and the sync of its
    // parent. Once there is a log, they are durable.
    if (this->segment_numbers().empty())
        sync_parents(this->files(), this->path);
}

std::string data_folder::segment_name(std::uint64_t number)
{
    return numbered_file_name(segment_prefix, number);
}

std::string data_folder::snapshot_name(consensus::log_index index, consensus::term_number term)
{
    return numbered_file_name(snapshot_prefix, index.value()) + "-" + std::to_string(term.value());
}

std::set<std::uint64_t> data_folder::segment_numbers() const
{
    std::set<std::uint64_t> numbers;
    for (auto const& name : this->files().list(this->path))
    {
        bool const is_segment =
            name.size() == segment_prefix.size() + 20 && name.starts_with(segment_prefix) &&
            std::all_of(name.begin() + segment_prefix.size(), name.end(),
                        [](char digit) { return digit >= '0' && digit <= '9'; });
        if (is_segment)
            numbers.insert(std::stoull(name.substr(segment_prefix.size())));
    }
    return numbers;
}

void data_folder::remove_obsolete(std::uint64_t first_segment, std::string const& snapshot) const
{
    for (auto const& name : this->files().list(this->path))
    {
        bool const is_old_segment =
            name.starts_with(segment_prefix) && name < segment_name(first_segment);
        bool const is_old_snapshot = name.starts_with(snapshot_prefix) && name != snapshot;
        if (!is_old_segment && !is_old_snapshot && !name.ends_with(temporary_suffix))
            continue;
        this->files().remove(this->file_path(name));
    }
}

} // namespace lagoonladder::storage
