#ifndef LAGOONLADDER_VERSION_TOOLS_FIXED_THRESHOLD_HPP
#define LAGOONLADDER_VERSION_TOOLS_FIXED_THRESHOLD_HPP

#include <deque>

#include <lagoonladder/version.hpp>

namespace lagoonladder::version::study
{

/// What decides about one running move.
class decider
{
public:
    virtual ~decider() = default;
    virtual std::optional<update_move> step(wall_time now, move_record const& record,
                                            service_config const& service,
                                            std::vector<traffic_sample> const& samples) = 0;
};

/// The controller of the library.
class library_decider : public decider
{
public:
    std::optional<update_move> step(wall_time now, move_record const& record,
                                    service_config const& service,
                                    std::vector<traffic_sample> const& samples) override
    {
        return this->controller.step(now, record, service, samples);
    }

private:
    move_controller controller;
};

/// Usual rule for comparison: over the last minute, reverse when more than 5% of at
/// least 20 calls failed or the p95 of the whole call is over twice the old one's.
/// Shares double from 5% at equal times.
class fixed_threshold : public decider
{
public:
    std::optional<update_move> step(wall_time now, move_record const& record,
                                    service_config const& service,
                                    std::vector<traffic_sample> const& samples) override;

private:
    struct totals
    {
        std::uint32_t requests = 0;
        std::uint32_t failures = 0;
        latency_histogram whole_call;
    };

    totals sum(version_name const& version) const;
    bool is_bad(move_record const& record) const;

    std::deque<std::vector<traffic_sample>> window;
};

} // namespace lagoonladder::version::study

#endif
