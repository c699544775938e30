#include <lagoonladder/connection/limit_sharing.hpp>

#include <algorithm>

namespace lagoonladder::connection
{

limit_sharing::limit_sharing(limit_sharing_options initial)
    : options(initial)
{
}

limit_portion limit_sharing::update(time_point now, std::uint32_t live_entries, bool has_quorum)
{
    if (!has_quorum)
        this->quorum_since.reset();
    else if (!this->quorum_since)
        this->quorum_since = now;
    bool const is_settled =
        this->quorum_since && now - *this->quorum_since >= this->options.settle_time;
    this->counted_entries =
        is_settled ? live_entries : std::max(this->counted_entries, live_entries);
    bool const has_most_entries = 2 * live_entries > this->counted_entries;
    return {this->counted_entries, has_quorum || has_most_entries};
}

} // namespace lagoonladder::connection
