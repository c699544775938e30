#ifndef LAGOONLADDER_HTTP_MEMORY_LEDGER_HPP
#define LAGOONLADDER_HTTP_MEMORY_LEDGER_HPP

#include <cstdint>
#include <map>
#include <vector>

#include <lagoonladder/base.hpp>

namespace lagoonladder::http
{

/// Decides which requests and unsent responses may take up memory, and which ones are to release
/// theirs when the budget is spent.
class memory_ledger
{
public:
    using holding_id = std::uint64_t;

    /// Requests up to this size may use all of the budget; larger ones only `large_share` of it.
    static constexpr std::uint64_t small_bytes = 64 * 1024;
    static constexpr double large_share = 0.75;
    /// A holding makes progress while at least `min_progress_bytes` of it are received or sent
    /// within `stall_time`.
    static constexpr std::uint64_t min_progress_bytes = 16 * 1024;
    static constexpr duration stall_time = seconds(1);

    /// What to do for a holding that is to grow.
    struct decision
    {
        bool is_granted = true;
        /// Holdings that count as released from now on; their memory has to be freed.
        std::vector<holding_id> released;
    };

    /// How a holding that is to grow is treated when the budget is spent.
    enum class demand
    {
        /// Is refused when others do not release enough.
        refusable,
        /// Is granted always, since refusing it would lose a response.
        binding
    };

    explicit memory_ledger(std::uint64_t limit);

    holding_id open(time_point now);
    void close(holding_id id);
    /// Changes the size of a holding. A holding that counts as released is not granted anything.
    decision resize(time_point now, holding_id id, std::uint64_t bytes,
                    demand kind = demand::refusable);
    /// Records that `bytes` of a holding were received or sent.
    void record_progress(time_point now, holding_id id, std::uint64_t bytes);
    /// States that a holding cannot be released any more, since its request may be executed.
    /// Returns false when it was released already.
    bool pin(holding_id id);

    std::uint64_t used() const { return this->used_bytes; }

private:
    struct holding
    {
        std::uint64_t bytes = 0;
        time_point last_progress{};
        std::uint64_t bytes_since_progress = 0;
        bool is_pinned = false;
        bool is_released = false;
    };

    struct candidate
    {
        holding_id id = 0;
        std::uint64_t bytes = 0;
        bool is_stalled = false;
    };

    void set_bytes(holding& changed, std::uint64_t bytes);
    /// Whether no holding but `id` is large and the small ones leave the share of large ones free.
    bool is_only_large_one(holding_id id) const;
    /// Returns the holdings that may be released for `id`, in the order in which they are.
    std::vector<candidate> find_candidates(time_point now, holding_id id, std::uint64_t bytes,
                                           demand kind) const;

    std::uint64_t const limit;
    std::uint64_t const large_limit;
    std::uint64_t used_bytes = 0;
    holding_id last_id = 0;
    std::map<holding_id, holding> holdings;
};

} // namespace lagoonladder::http

#endif
