#ifndef LAGOONLADDER_VERSION_TOOLS_FIXED_THRESHOLD_HPP
#define LAGOONLADDER_VERSION_TOOLS_FIXED_THRESHOLD_HPP

#include <deque>

#include <lagoonladder/version.hpp>

namespace lagoonladder::version::study
{

/// Rule that decides the steps and the end of a running move.
class move_policy
{
public:
    virtual ~move_policy() = default;
    virtual std::optional<update_move> step(wall_time now, move_record const& record,
                                            service_config const& service,
                                            std::vector<traffic_sample> const& samples) = 0;
};

/// The move_controller of the library.
class controller_policy : public move_policy
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

/// Common rule, for comparison: reverses the move if, over the last minute, more than 5% of
/// at least 20 calls failed or the p95 of the complete call is more than twice that of the
/// old version. The share starts at 5% and doubles at equal intervals.
class fixed_threshold : public move_policy
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
