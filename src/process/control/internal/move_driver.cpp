#include "move_driver.hpp"

#include <lagoonladder/control/service_versions.hpp>

namespace lagoonladder::control
{

namespace
{

constexpr duration update_timeout = seconds(2);

/// A move is watched at full share for its duration divided by this.
constexpr int watch_time_divisor = 4;

/// Samples kept for one service between two steps; bounds the memory that a burst of late
/// reports uses.
constexpr std::size_t max_collected_samples = 10'000;

std::string event_name(version::move_state state)
{
    switch (state)
    {
    case version::move_state::running:
        return "move.share_changed";
    case version::move_state::finished:
        return "move.finished";
    case version::move_state::reversed:
        return "move.reversed";
    }
    return "move.unknown";
}

std::vector<event_field> describe(version::move_record const& record)
{
    std::vector<event_field> fields{{"service", record.service.value()},
                                    {"from", record.from.value()},
                                    {"to", record.to.value()},
                                    {"share", std::to_string(record.share)},
                                    {"finish_by", format_wall_time(record.finish_by)},
                                    {"reason", record.reason}};
    for (auto const& [name, value] : record.figures)
        fields.push_back({name, value});
    return fields;
}

bool is_passed_through(version::shared_state const& shared, version::move_record const& record)
{
    return shared.services && shared.services->find_service(record.service) != nullptr;
}

/// Configuration by which a service's move is evaluated; no value for a service that no longer
/// exists.
std::optional<version::service_config> find_move_service(version::shared_state const& shared,
                                                         version::move_record const& record)
{
    if (auto const* service = shared.configuration.find_service(record.service))
        return *service;
    if (!is_passed_through(shared, record))
        return std::nullopt;
    version::service_config service;
    service.name = record.service;
    service.version = record.to;
    service.watch = (record.finish_by - record.started) / watch_time_divisor;
    return service;
}

} // namespace

move_driver::move_driver(consensus_driver* own_node, config::pass_through_settings const& config,
                         telemetry const& sinks)
    : node(own_node)
    , options(config)
    , events(sinks.events)
    , metrics(sinks.metrics)
    , time(sinks.time)
{
}

version::move_controller move_driver::make_controller(version::shared_state const& shared,
                                                      version::move_record const& record) const
{
    if (!is_passed_through(shared, record))
        return version::move_controller();
    return version::move_controller(version::make_short_move_settings(
        this->options.exposure_share, this->options.exposure_requests));
}

void move_driver::collect(std::vector<version::traffic_sample> const& samples)
{
    if (!this->node || !this->node->is_leader())
        return;
    for (auto const& sample : samples)
    {
        auto& kept = this->collected[sample.service];
        if (kept.size() < max_collected_samples)
            kept.push_back(sample);
    }
}

void move_driver::step(control_view const& view)
{
    if (!this->node)
        return;
    auto const shared = this->node->state().shared();
    this->report_changes(*shared);
    if (!this->node->is_leader())
    {
        this->controllers.clear();
        this->collected.clear();
        return;
    }
    if (this->controlled_term != this->node->term())
    {
        // The record holds the figures that an earlier leader committed last; a controller from an
        // earlier term may hold older ones.
        this->controllers.clear();
        this->controlled_term = this->node->term();
    }
    for (auto const& record : shared->moves)
    {
        if (record.state != version::move_state::running)
            continue;
        if (version::is_renewal(record))
            this->step_renewal(view, record);
        else
            this->step_move(*shared, record);
    }
    this->collected.clear();
}

void move_driver::step_move(version::shared_state const& shared, version::move_record const& record)
{
    auto const service = find_move_service(shared, record);
    if (!service)
        return;
    auto const existing = this->controllers.find(record.service);
    auto& controller =
        existing != this->controllers.end()
            ? existing->second
            : this->controllers.emplace(record.service, this->make_controller(shared, record))
                  .first->second;
    auto const change =
        controller.step(this->time.wall_now(), record, *service, this->collected[record.service]);
    if (change)
        this->propose(*change);
}

void move_driver::step_renewal(control_view const& view, version::move_record const& record)
{
    auto const change = version::decide_renewal(this->time.wall_now(), record,
                                                count_renewal_endpoints(view, record));
    if (change)
        this->propose(*change);
}

void move_driver::propose(version::update_move const& change)
{
    this->node->propose(change, this->time.now() + update_timeout,
                        [this, name = change.service](proposal_outcome const& outcome)
                        {
                            if (outcome.status != proposal_status::committed)
                                this->events.emit(severity::warning, "move.update_not_committed",
                                                  {{"service", name.value()}});
                        });
}

void move_driver::report_changes(version::shared_state const& shared)
{
    for (auto const& record : shared.moves)
    {
        auto& previous = this->reported[record.service];
        if (record.generation < previous.number)
            continue;
        bool const is_unchanged = previous.number == record.generation &&
                                  previous.state == record.state && previous.share == record.share;
        if (is_unchanged)
            continue;
        bool const is_new_move = previous.number != record.generation;
        previous = {record.generation, record.state, record.share};
        // Only the leader logs, so that the merged timeline has one line per change.
        if (!this->node->is_leader())
            continue;
        this->update_metrics(record);
        auto const level =
            record.state == version::move_state::reversed ? severity::warning : severity::info;
        auto const name = is_new_move && record.state == version::move_state::running
                              ? "move.started"
                              : event_name(record.state);
        this->events.emit(level, name, describe(record));
    }
}

void move_driver::update_metrics(version::move_record const& record) const
{
    auto const exposure = version::exposure_of(record);
    observability::metric_labels const labels{{"service", record.service.value()}};
    this->metrics.set("move_candidate_requests", labels, exposure.candidate_requests);
    this->metrics.set("move_candidate_limit", labels, exposure.limit);
}

} // namespace lagoonladder::control
