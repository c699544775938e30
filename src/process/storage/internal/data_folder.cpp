#include "data_folder.hpp"

#include <algorithm>

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

} // namespace

data_folder::data_folder(std::shared_ptr<file_system> initial_files, std::string initial_path)
    : file_operations(std::move(initial_files))
    , path(std::move(initial_path))
{
    this->files().create_folders(this->path);
    this->lock = this->files().lock(this->file_path("lock"));
    if (!this->lock)
        throw storage_error(this->path + ": the data folder is in use by another process");
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
