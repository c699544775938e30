#ifndef LAGOONLADDER_VERSION_ENGINE_NEED_HPP
#define LAGOONLADDER_VERSION_ENGINE_NEED_HPP

#include <deque>
#include <optional>
#include <vector>

#include <lagoonladder/base/engine_work.hpp>
#include <lagoonladder/version/capacity_plan.hpp>

namespace lagoonladder::version
{

struct engine_need_options
{
    /// Work of prefill that entries estimate for each engine and second, without the engines that
    /// are spare for the loss of a data centre. docs/design/engine-capacity.md has the study.
    double prefill_utilisation = 0.28;
    /// Fraction of the slots of an engine that are planned to be taken; 1.7 times as many requests
    /// still find a slot.
    double slot_utilisation = 0.5;
    /// With fewer prompts in `window` at all entries together, the constant applies.
    double min_prompts = 20;
    duration window = seconds(10);
    /// The measured need is at most this multiple of the need by the constant, and at least the
    /// inverse of it.
    double max_deviation = 3;
};

/// Requests at one entry.
struct entry_load
{
    /// Prompt and output tokens per second that callers request.
    double demand = 0;
    /// No value when the entry has stated none.
    std::optional<engine_work> work;
};

/// What the number of engines is derived from.
enum class need_basis
{
    /// The demand and the constant `capacity_options::tokens_per_engine`.
    constant,
    prefill,
    running,
    /// The lowest or highest need that the constant allows.
    limit
};

char const* to_string(need_basis basis);

/// Engines of one service that callers need.
struct engine_need
{
    double engines = 0;
    need_basis basis = need_basis::constant;
    /// Engines that the constant gives for the whole demand.
    double by_constant = 0;
    /// Work of all entries that have stated theirs.
    engine_work work;
};

/// Returns the engines that callers need. The load that it handles: prompts that are cached or not,
/// engines of any speed, and entries without a measurement, for which the constant counts.
/// `engine_slots` is zero when the configuration states none.
engine_need find_engine_need(std::vector<entry_load> const& entries, std::uint32_t engine_slots,
                             capacity_options const& capacity = {},
                             engine_need_options const& options = {});

/// The highest need of the last `window`, since an engine takes seconds to start.
class peak_engine_need
{
public:
    explicit peak_engine_need(duration time_window = engine_need_options().window)
        : window(time_window)
    {
    }

    /// Adds a need and returns the highest one.
    engine_need add(time_point now, engine_need const& need);

private:
    duration window;
    /// Oldest first.
    std::deque<std::pair<time_point, engine_need>> needs;
};

} // namespace lagoonladder::version

#endif
