#include "simulated_disk.hpp"

#include <utility>

using namespace lagoonladder::storage;

namespace
{

std::string parent_of(std::string const& path)
{
    auto const slash = path.rfind('/');
    return slash == 0 ? "/" : path.substr(0, slash);
}

} // namespace

class simulated_file : public file
{
public:
    simulated_file(simulated_disk& initial_disk, std::string initial_path,
                   std::shared_ptr<simulated_disk::inode> initial_target)
        : disk(initial_disk)
        , path(std::move(initial_path))
        , target(std::move(initial_target))
    {
    }

    void append(std::string const& bytes) override
    {
        this->disk.append(this->path, *this->target, bytes);
    }
    void sync() override { this->disk.sync(this->path, this->target); }
    void truncate(std::uint64_t size) override
    {
        this->disk.truncate(this->path, *this->target, size);
    }

private:
    simulated_disk& disk;
    std::string path;
    std::shared_ptr<simulated_disk::inode> target;
};

class simulated_file_system : public file_system
{
public:
    explicit simulated_file_system(simulated_disk& initial_disk)
        : disk(initial_disk)
    {
    }

    bool exists(std::string const& path) override
    {
        return this->disk.folders.contains(path) || this->disk.current.contains(path);
    }

    bool is_writable(std::string const&) override { return true; }

    void create_folder(std::string const& path) override
    {
        this->disk.begin(simulated_disk::operation::other, path, "created");
        this->disk.folders.insert(path);
    }

    std::unique_ptr<file> open(std::string const& path, open_mode mode) override
    {
        this->disk.begin(mode == open_mode::replace ? simulated_disk::operation::write
                                                    : simulated_disk::operation::other,
                         path, "opened");
        if (mode == open_mode::append)
            return std::make_unique<simulated_file>(this->disk, path, this->find(path));
        if (this->disk.is_full)
            this->disk.fail(path, "opened");
        auto& target = this->disk.current[path];
        if (!target)
            target = std::make_shared<simulated_disk::inode>();
        else
        {
            target->content.clear();
            target->unsynced_changes.emplace_back(simulated_disk::truncation{0});
        }
        return std::make_unique<simulated_file>(this->disk, path, target);
    }

    std::unique_ptr<file_lock> lock(std::string const&) override
    {
        return std::make_unique<file_lock>();
    }

    std::string read(std::string const& path) override { return this->find(path)->content; }

    void rename(std::string const& from, std::string const& to) override
    {
        this->disk.begin(simulated_disk::operation::other, from, "renamed");
        this->disk.current[to] = this->find(from);
        this->disk.current.erase(from);
    }

    void remove(std::string const& path) override
    {
        this->disk.begin(simulated_disk::operation::other, path, "removed");
        this->disk.current.erase(path);
    }

    std::vector<std::string> list(std::string const&) override
    {
        std::vector<std::string> names;
        for (auto const& path : this->disk.names())
            names.push_back(path.substr(path.rfind('/') + 1));
        return names;
    }

    void sync_folder(std::string const& folder) override
    {
        try
        {
            this->disk.begin(simulated_disk::operation::other, folder, "synced");
        }
        catch (storage_error const&)
        {
            this->disk.store_part_of_names();
            throw;
        }
        std::erase_if(this->disk.durable,
                      [&](auto const& named) { return parent_of(named.first) == folder; });
        for (auto const& named : this->disk.current)
            if (parent_of(named.first) == folder)
                this->disk.durable.insert(named);
        for (auto const& path : this->disk.folders)
            if (parent_of(path) == folder)
                this->disk.durable_folders.insert(path);
    }

private:
    std::shared_ptr<simulated_disk::inode> find(std::string const& path) const
    {
        auto const found = this->disk.current.find(path);
        if (found == this->disk.current.end())
            throw storage_error(path + ": cannot be read: No such file");
        return found->second;
    }

    simulated_disk& disk;
};

simulated_disk::simulated_disk(lagoonladder::random_source& initial_random)
    : random(initial_random)
{
}

std::shared_ptr<file_system> simulated_disk::start_process()
{
    this->killed = false;
    this->operation_count = 0;
    this->kill_at = UINT64_MAX;
    return std::make_shared<simulated_file_system>(*this);
}

void simulated_disk::kill_after(std::uint64_t operations)
{
    this->kill_at = this->operation_count + operations;
}

std::vector<std::string> simulated_disk::names() const
{
    std::vector<std::string> out;
    for (auto const& [name, target] : this->current)
        out.push_back(name);
    return out;
}

void simulated_disk::fail(std::string const& path, std::string const& action)
{
    ++this->failure_count;
    throw storage_error(path + ": cannot be " + action + ": simulated failure");
}

void simulated_disk::begin(operation kind, std::string const& path, std::string const& action)
{
    if (this->killed || this->operation_count == this->kill_at)
    {
        this->killed = true;
        throw process_killed();
    }
    ++this->operation_count;
    if (kind != this->reliable_operation && this->chance(this->failure_probability))
        this->fail(path, action);
}

void simulated_disk::append(std::string const& path, inode& target, std::string const& bytes)
{
    // A killed process and a failed call may both have written some of the bytes.
    auto const write = [&](std::string written)
    {
        write_operation added{target.content.size(), std::move(written)};
        target.content += added.bytes;
        target.unsynced_changes.emplace_back(std::move(added));
    };
    auto const write_part = [&] { write(bytes.substr(0, this->random.below(bytes.size() + 1))); };
    try
    {
        this->begin(operation::write, path, "written");
        if (this->is_full)
            this->fail(path, "written");
    }
    catch (process_killed const&)
    {
        write_part();
        throw;
    }
    catch (storage_error const&)
    {
        write_part();
        throw;
    }
    write(bytes);
}

// A failed sync leaves the content readable, but later syncs do not store it: the kernel marks the
// pages as clean.
void simulated_disk::sync(std::string const& path, std::shared_ptr<inode> const& target)
{
    try
    {
        this->begin(operation::sync, path, "synced");
        if (std::exchange(this->fails_next_sync, false))
            this->fail(path, "synced");
    }
    catch (storage_error const&)
    {
        this->store_part(*target);
        throw;
    }
    for (auto const& stored : target->unsynced_changes)
        apply(target->durable, stored);
    target->unsynced_changes.clear();
    // The sync of a new file stores its name on some systems only.
    if (!this->durable.contains(path) && this->current.contains(path) &&
        this->current.at(path) == target && this->chance(0.5))
        this->durable[path] = target;
}

void simulated_disk::truncate(std::string const& path, inode& target, std::uint64_t size)
{
    this->begin(operation::other, path, "truncated");
    if (this->is_full)
        this->fail(path, "truncated");
    target.content.resize(size);
    target.unsynced_changes.emplace_back(truncation{size});
}

void simulated_disk::apply(std::string& content, change const& applied)
{
    if (auto const* cut = std::get_if<truncation>(&applied))
        return content.resize(cut->size);
    auto const& written = std::get<write_operation>(applied);
    if (content.size() < written.offset + written.bytes.size())
        content.resize(written.offset + written.bytes.size());
    content.replace(written.offset, written.bytes.size(), written.bytes);
}

void simulated_disk::store_part(inode& target)
{
    // On some disks all unsynced changes have the same fate.
    bool const have_one_fate = this->chance(0.4);
    bool const are_kept = this->chance(0.5);
    for (auto& changed : target.unsynced_changes)
    {
        if (!(have_one_fate ? are_kept : this->chance(0.5)))
            continue;
        auto* written = std::get_if<write_operation>(&changed);
        if (written != nullptr && !have_one_fate && this->chance(0.4))
            written->bytes.resize(this->random.below(written->bytes.size() + 1));
        apply(target.durable, changed);
    }
    target.unsynced_changes.clear();
}

void simulated_disk::store_part_of_names()
{
    names_map stored;
    std::set<std::string> paths;
    for (auto const* map : {&this->current, &this->durable})
        for (auto const& [path, target] : *map)
            paths.insert(path);
    bool const have_one_fate = this->chance(0.4);
    bool const are_kept = this->chance(0.5);
    for (auto const& path : paths)
    {
        bool const is_kept = have_one_fate ? are_kept : this->chance(0.5);
        auto const& source = is_kept ? this->current : this->durable;
        if (source.contains(path))
            stored[path] = source.at(path);
    }
    this->durable = std::move(stored);
    for (auto const& path : this->folders)
        if (have_one_fate ? are_kept : this->chance(0.5))
            this->durable_folders.insert(path);
}

void simulated_disk::remove_orphans()
{
    // Parents are before their children.
    std::erase_if(this->folders, [&](std::string const& path)
                  { return !this->folders.contains(parent_of(path)); });
    std::erase_if(this->durable, [&](auto const& named)
                  { return !this->folders.contains(parent_of(named.first)); });
}

void simulated_disk::lose_power(unsynced remainder)
{
    if (remainder == unsynced::random)
        this->store_part_of_names();
    if (remainder == unsynced::removals)
        std::erase_if(this->durable,
                      [&](auto const& named) { return !this->current.contains(named.first); });
    this->folders = this->durable_folders;
    this->remove_orphans();
    this->durable_folders = this->folders;
    this->current.clear();
    for (auto& [path, target] : this->durable)
    {
        if (remainder == unsynced::random)
            this->store_part(*target);
        // A renamed file may be found under both names; these are separate files from now on.
        target = std::make_shared<inode>(inode{target->durable, target->durable, {}});
        this->current[path] = target;
    }
}
