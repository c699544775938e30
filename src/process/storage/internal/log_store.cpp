#include <lagoonladder/storage/log_store.hpp>

namespace lagoonladder::storage
{

void log_store::save(consensus::ready const& work)
{
    if (work.snapshot)
        this->save_snapshot(*work.snapshot);
    if (work.hard_state || !work.entries.empty())
        this->save(work.hard_state, work.entries, work.must_sync);
}

} // namespace lagoonladder::storage
