#include <lagoonladder/storage/memory_log_store.hpp>

#include "stored_log.hpp"

namespace lagoonladder::storage
{

namespace
{

void apply(consensus::persistent_state& target, std::optional<consensus::hard_state> const& state,
           std::vector<consensus::log_entry> const& entries)
{
    if (!append_entries(target, entries))
        throw storage_error("memory log: entry " + std::to_string(entries.front().index.value()) +
                            " does not continue the log");
    if (state)
        target.hard_state = *state;
}

} // namespace

consensus::persistent_state memory_log_store::load()
{
    auto result = this->durable;
    for (auto const& saved : this->unsynced)
        apply(result, saved.state, saved.entries);
    return result;
}

void memory_log_store::save(std::optional<consensus::hard_state> const& state,
                            std::vector<consensus::log_entry> const& entries, bool must_sync)
{
    this->unsynced.push_back({state, entries});
    if (must_sync)
        this->sync();
}

void memory_log_store::save_snapshot(consensus::snapshot const& state)
{
    this->sync();
    install_snapshot(this->durable, state);
}

void memory_log_store::sync()
{
    for (auto const& saved : this->unsynced)
        apply(this->durable, saved.state, saved.entries);
    this->unsynced.clear();
}

void memory_log_store::discard_unsynced()
{
    this->unsynced.clear();
}

} // namespace lagoonladder::storage
