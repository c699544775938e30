#include <lagoonladder/storage/file_log_store.hpp>

#include "data_folder.hpp"
#include "posix_file_system.hpp"
#include "record.hpp"
#include "stored_log.hpp"

namespace lagoonladder::storage
{

namespace
{

constexpr char voter_file[] = "voter";

/// Beginning of an error message about damage at an offset of a file.
std::string location_prefix(std::string const& path, std::uint64_t offset)
{
    return path + ": offset " + std::to_string(offset) + ": ";
}

} // namespace

file_log_store::file_log_store(std::string path, file_log_store_options initial_options)
    : file_log_store(std::make_shared<posix_file_system>(), std::move(path), initial_options)
{
}

file_log_store::file_log_store(std::shared_ptr<file_system> files, std::string path,
                               file_log_store_options initial_options)
    : options(initial_options)
    , folder(std::make_unique<data_folder>(std::move(files), std::move(path)))
{
}

file_log_store::~file_log_store() = default;

consensus::voter_id file_log_store::open_voter_id(vm_id const& vm, random_source& random)
{
    auto const path = this->folder->file_path(voter_file);
    if (this->folder->segment_numbers().empty())
    {
        auto const id = consensus::make_voter_id(vm, random.next());
        write_file_durably(this->folder->files(), this->folder->folder_path(), voter_file,
                           id.value() + "\n");
        return id;
    }
    auto text = this->folder->files().read(path);
    if (text.empty() || text.back() != '\n')
        throw storage_error(path + ": the voter id is incomplete");
    text.pop_back();
    consensus::voter_id const id(text);
    if (vm_of(id) != vm)
        throw storage_error(path + ": the data folder belongs to VM " + vm_of(id).value() +
                            ", not to " + vm.value());
    return id;
}

consensus::persistent_state file_log_store::load()
{
    this->is_usable = false;
    this->current_state = {};
    auto const numbers = this->folder->segment_numbers();
    if (numbers.empty())
    {
        this->begin_segment(true);
        this->is_usable = true;
        return {};
    }
    auto result = this->read_segments();
    this->is_usable = true;
    return result;
}

consensus::persistent_state file_log_store::read_segments()
{
    auto const numbers = this->folder->segment_numbers();
    auto first = *numbers.rbegin();
    for (;; --first)
    {
        auto const path = this->folder->file_path(data_folder::segment_name(first));
        if (!numbers.contains(first))
            throw storage_error(path + ": the segment is missing");
        auto const header = decode_segment_header(this->folder->files().read(path));
        if (!header || header->number != first)
            throw storage_error(location_prefix(path, 0) + "the segment header is damaged");
        if (header->kind == segment_kind::checkpoint)
            break;
    }
    auto const last = *numbers.rbegin();
    segment_content last_content;
    for (auto number = first; number <= last; ++number)
        last_content = this->read_segment(number, number == last);
    auto result = this->current_state;
    std::string snapshot_name;
    if (this->current_state.snapshot)
    {
        auto const& stored_snapshot = *this->current_state.snapshot;
        snapshot_name = data_folder::snapshot_name(stored_snapshot.index, stored_snapshot.term);
        auto const path = this->folder->file_path(snapshot_name);
        result.snapshot = decode_snapshot_file(path, this->folder->files().read(path));
        this->current_state.snapshot->membership = result.snapshot->membership;
    }
    // A killed process may have renamed files without a sync of the folder. The files that they
    // replace are removed after it.
    this->folder->files().sync_folder(this->folder->folder_path());
    this->folder->remove_obsolete(first, snapshot_name);
    this->store_segment(last, last_content);
    return result;
}

file_log_store::segment_content file_log_store::read_segment(std::uint64_t number, bool is_last)
{
    auto const path = this->folder->file_path(data_folder::segment_name(number));
    auto const bytes = this->folder->files().read(path);
    bool const is_checkpoint = decode_segment_header(bytes)->kind == segment_kind::checkpoint;
    auto offset = segment_header_bytes;
    while (offset < bytes.size())
    {
        auto const payload = decode_record(bytes, number, offset);
        if (!payload)
            break;
        try
        {
            this->apply_record(*payload);
        }
        catch (storage_error const& problem)
        {
            throw storage_error(location_prefix(path, offset) + problem.what());
        }
        offset += record_overhead_bytes + payload->size();
    }
    bool const lacks_checkpoint = is_checkpoint && offset == segment_header_bytes;
    if (lacks_checkpoint || (!is_last && offset < bytes.size()))
        throw storage_error(location_prefix(path, offset) + "the record is damaged");
    if (auto const next_record = find_record_after(bytes, number, offset))
        throw storage_error(location_prefix(path, offset) +
                            "the record is damaged, but a valid one follows at offset " +
                            std::to_string(*next_record));
    return {bytes.substr(0, offset), offset < bytes.size()};
}

void file_log_store::store_segment(std::uint64_t number, segment_content const& content)
{
    auto& files = this->folder->files();
    auto const path = this->folder->file_path(data_folder::segment_name(number));
    auto const copy = this->write_copy(path, content.valid_bytes);
    if (copy)
        publish_temporary(files, *copy, this->folder->folder_path(), path);
    this->segment = files.open(path, open_mode::append);
    this->segment_number = number;
    this->segment_size = content.valid_bytes.size();
    if (!copy)
        this->sync_loaded_segment(content);
    this->has_failed_sync = false;
}

void file_log_store::sync_loaded_segment(segment_content const& content)
{
    // A full disk may refuse a truncation as well.
    if (content.is_torn)
        this->segment->truncate(content.valid_bytes.size());
    this->sync_segment();
}

std::unique_ptr<file> file_log_store::write_copy(std::string const& path, std::string const& bytes)
{
    auto& files = this->folder->files();
    auto const temporary = temporary_path(path);
    try
    {
        auto copy = files.open(temporary, open_mode::replace);
        copy->append(bytes);
        return copy;
    }
    catch (storage_error const&)
    {
        files.remove(temporary);
        if (this->has_failed_sync)
            throw;
        return nullptr;
    }
}

void file_log_store::sync_segment()
{
    this->has_failed_sync = true;
    this->segment->sync();
    this->has_failed_sync = false;
}

void file_log_store::apply_record(std::string const& payload)
{
    auto const content = decode_batch(payload);
    if (content.snapshot)
    {
        this->current_state = {};
        this->current_state.snapshot.emplace();
        this->current_state.snapshot->index = content.snapshot->first;
        this->current_state.snapshot->term = content.snapshot->second;
    }
    if (content.hard_state)
        this->current_state.hard_state = *content.hard_state;
    if (!append_entries(this->current_state, content.entries))
        throw storage_error("entry " + std::to_string(content.entries.front().index.value()) +
                            " does not continue the log");
}

void file_log_store::require_usable() const
{
    if (!this->is_usable)
        throw storage_error(this->folder->folder_path() +
                            ": the log is not loaded, or an earlier write has failed");
}

void file_log_store::save(std::optional<consensus::hard_state> const& state,
                          std::vector<consensus::log_entry> const& entries, bool must_sync)
{
    this->require_usable();
    if (state)
        this->current_state.hard_state = *state;
    if (!must_sync && entries.empty())
        return;
    if (!append_entries(this->current_state, entries))
        throw storage_error(this->folder->folder_path() + ": entry " +
                            std::to_string(entries.front().index.value()) +
                            " does not continue the log");
    this->is_usable = false;
    if (this->segment_size >= this->options.segment_bytes)
        this->begin_segment(false);
    this->append_record(encode_batch({this->current_state.hard_state, entries, std::nullopt}));
    this->is_usable = true;
}

void file_log_store::append_record(std::string const& payload)
{
    auto const record = encode_record(this->segment_number, this->segment_size, payload);
    this->segment->append(record);
    try
    {
        this->sync_segment();
    }
    catch (storage_error const&)
    {
        this->discard_record();
        throw;
    }
    this->segment_size += record.size();
}

void file_log_store::discard_record()
{
    try
    {
        this->segment->truncate(this->segment_size);
    }
    catch (storage_error const&)
    {
        // The next load still writes a copy, since `has_failed_sync` is set.
    }
}

void file_log_store::begin_segment(bool is_checkpoint)
{
    auto const number = this->segment_number + 1;
    auto const kind = is_checkpoint ? segment_kind::checkpoint : segment_kind::continuation;
    auto bytes = encode_segment_header({number, kind});
    if (is_checkpoint)
    {
        batch content{this->current_state.hard_state, this->current_state.entries, std::nullopt};
        if (auto const& state = this->current_state.snapshot)
            content.snapshot.emplace(state->index, state->term);
        bytes += encode_record(number, bytes.size(), encode_batch(content));
    }
    auto const name = data_folder::segment_name(number);
    write_file_durably(this->folder->files(), this->folder->folder_path(), name, bytes);
    this->segment = this->folder->files().open(this->folder->file_path(name), open_mode::append);
    this->segment_number = number;
    this->segment_size = bytes.size();
}

void file_log_store::save_snapshot(consensus::snapshot const& state)
{
    this->require_usable();
    this->is_usable = false;
    auto const name = data_folder::snapshot_name(state.index, state.term);
    write_file_durably(this->folder->files(), this->folder->folder_path(), name,
                       encode_snapshot_file(state));
    install_snapshot(this->current_state, {state.index, state.term, state.membership, {}});
    this->begin_segment(true);
    this->folder->remove_obsolete(this->segment_number, name);
    this->is_usable = true;
}

} // namespace lagoonladder::storage
