#include "crash_tracker.hpp"

#include <algorithm>
#include <sstream>

namespace lagoonladder::proxy
{

namespace
{

/// Interval between broadcasts of this entry. When a data centre is reclaimed, all entries see many
/// engines end at the same time.
constexpr duration broadcast_interval = milliseconds(200);
constexpr duration exchange_interval = milliseconds(500);
/// Entries that receive the evidence in each interval.
constexpr std::size_t exchange_receivers = 2;
constexpr std::size_t max_crashes_per_exchange = 8;
/// Returns whether this entry is the one of all serving entries that may try the part.
bool is_probing_entry(traffic_view const& view, std::uint64_t part)
{
    auto const weight = [&](vm_id const& vm) { return stable_hash(vm.value(), part); };
    return std::none_of(view.serving.begin(), view.serving.end(),
                        [&](serving_entry const& other)
                        { return weight(other.vm) > weight(view.vm); });
}

std::string hex(std::uint64_t value)
{
    std::ostringstream text;
    text << std::hex << value;
    return text.str();
}

} // namespace

crash_tracker::crash_tracker(call_proxy::dependencies const& injected)
    : dependencies(injected)
    , next_crash_number(injected.seed)
{
}

bool crash_tracker::is_refused(time_point now, traffic_view const& view, incoming_call const& call)
{
    auto const verdict = this->quarantine.check(
        now, call.prompt, [&](std::uint64_t part) { return is_probing_entry(view, part); });
    if (verdict == request::quarantine_verdict::probe)
        this->dependencies.events.emit(severity::info, "prompt.probed", {{"id", call.id.value()}});
    return verdict == request::quarantine_verdict::refused;
}

bool crash_tracker::would_refuse(time_point now, traffic_view const& view,
                                 incoming_call const& call) const
{
    return this->quarantine.preview(now, call.prompt,
                                    [&](std::uint64_t part) {
                                        return is_probing_entry(view, part);
                                    }) == request::quarantine_verdict::refused;
}

bool crash_tracker::is_suspected(time_point now, incoming_call const& call) const
{
    return this->quarantine.is_suspected(now, call.prompt);
}

void crash_tracker::record_crash(time_point now, incoming_call const& call,
                                 endpoint_id const& engine, time_point sent_at)
{
    request::engine_crash const crash{this->dependencies.control.view()->vm,
                                      this->next_crash_number++, engine, sent_at, now};
    auto const evidence = this->quarantine.evidence_of(crash, call.prompt);
    if (evidence.empty())
        return;
    this->merge(now, evidence);
    this->broadcast(now, evidence);
}

void crash_tracker::record_answer(time_point now, incoming_call const& call)
{
    auto const evidence = this->quarantine.record_answer(now, call.prompt);
    if (!evidence.empty())
        this->broadcast(now, evidence);
}

void crash_tracker::merge(time_point now, std::vector<request::part_evidence> const& evidence)
{
    this->log_quarantined(this->quarantine.merge(now, evidence));
}

void crash_tracker::tick(time_point now)
{
    if (now < this->next_exchange || this->quarantine.suspected_parts() == 0)
        return;
    this->next_exchange = now + exchange_interval;
    auto const evidence = this->quarantine.take_evidence(now, max_crashes_per_exchange);
    if (!evidence.empty())
        this->dependencies.control.send_crash_evidence(evidence, exchange_receivers);
}

void crash_tracker::broadcast(time_point now, std::vector<request::part_evidence> const& evidence)
{
    if (now < this->next_broadcast)
        return;
    this->next_broadcast = now + broadcast_interval;
    this->dependencies.control.send_crash_evidence(evidence, std::nullopt);
}

void crash_tracker::log_quarantined(std::vector<std::uint64_t> const& parts)
{
    for (auto const part : parts)
    {
        this->dependencies.events.emit(severity::warning, "prompt.quarantined",
                                       {{"part", hex(part)}});
        this->dependencies.metrics.add("quarantined_parts_total", {});
    }
}

} // namespace lagoonladder::proxy
