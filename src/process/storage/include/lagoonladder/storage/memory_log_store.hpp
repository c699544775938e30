#ifndef LAGOONLADDER_STORAGE_MEMORY_LOG_STORE_HPP
#define LAGOONLADDER_STORAGE_MEMORY_LOG_STORE_HPP

#include <lagoonladder/storage/log_store.hpp>

namespace lagoonladder::storage
{

/// Log store in memory, for tests and for embedders without a disk.
class memory_log_store : public log_store
{
public:
    using log_store::save;

    /// Returns unsynced saves too and, unlike a store on a disk, does not make them durable.
    consensus::persistent_state load() override;
    void save(std::optional<consensus::hard_state> const& state,
              std::vector<consensus::log_entry> const& entries, bool must_sync) override;
    void save_snapshot(consensus::snapshot const& state) override;

    /// Discards everything that was saved after the last sync, as a loss of power does.
    void discard_unsynced();

private:
    struct unsynced_save
    {
        std::optional<consensus::hard_state> state;
        std::vector<consensus::log_entry> entries;
    };

    void sync();

    consensus::persistent_state durable;
    std::vector<unsynced_save> unsynced;
};

} // namespace lagoonladder::storage

#endif
