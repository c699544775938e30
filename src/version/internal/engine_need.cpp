#include <lagoonladder/version/engine_need.hpp>

#include <algorithm>

namespace lagoonladder::version
{

namespace
{

/// Sums over all entries.
struct load_sums
{
    double demand = 0;
    /// Demand of the entries without a measurement.
    double unmeasured_demand = 0;
    engine_work work;
};

load_sums sum_up(std::vector<entry_load> const& entries)
{
    load_sums sums;
    for (auto const& entry : entries)
    {
        sums.demand += entry.demand;
        sums.unmeasured_demand += entry.work ? 0 : entry.demand;
        auto const work = entry.work.value_or(engine_work());
        sums.work.prefill += work.prefill;
        sums.work.prompts += work.prompts;
        sums.work.running += work.running;
    }
    return sums;
}

/// Clamps the need to what the constant allows.
void limit_need(engine_need& need, double max_deviation)
{
    auto const limited = std::clamp(need.engines, need.by_constant / max_deviation,
                                    need.by_constant * max_deviation);
    if (limited != need.engines)
        need.basis = need_basis::limit;
    need.engines = limited;
}

} // namespace

char const* to_string(need_basis basis)
{
    switch (basis)
    {
    case need_basis::constant:
        return "constant";
    case need_basis::prefill:
        return "prefill";
    case need_basis::running:
        return "running";
    case need_basis::limit:
        return "limit";
    }
    return "unknown";
}

engine_need find_engine_need(std::vector<entry_load> const& entries, std::uint32_t engine_slots,
                             capacity_options const& capacity, engine_need_options const& options)
{
    auto const sums = sum_up(entries);
    engine_need need;
    need.work = sums.work;
    need.by_constant = sums.demand / capacity.tokens_per_engine;
    need.engines = need.by_constant;
    if (sums.work.prompts * to_seconds(options.window) < options.min_prompts)
        return need;
    auto const prefill = sums.work.prefill / options.prefill_utilisation;
    auto const running =
        engine_slots == 0 ? 0 : sums.work.running / (engine_slots * options.slot_utilisation);
    need.basis = running > prefill ? need_basis::running : need_basis::prefill;
    need.engines = std::max(prefill, running) + sums.unmeasured_demand / capacity.tokens_per_engine;
    limit_need(need, options.max_deviation);
    return need;
}

engine_need peak_engine_need::add(time_point now, engine_need const& need)
{
    this->needs.emplace_back(now, need);
    while (now - this->needs.front().first > this->window)
        this->needs.pop_front();
    return std::max_element(this->needs.begin(), this->needs.end(),
                            [](auto const& left, auto const& right)
                            { return left.second.engines < right.second.engines; })
        ->second;
}

} // namespace lagoonladder::version
