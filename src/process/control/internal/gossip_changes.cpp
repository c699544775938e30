#include "gossip_driver.hpp"

namespace lagoonladder::control
{

connection::endpoint_result gossip_driver::announce(connection::endpoint_record record)
{
    using connection::endpoint_result;
    auto const id = record.id;
    auto const service = record.service;
    auto const version = record.version;
    bool const is_record_leaving = record.state == connection::endpoint_state::leaving;
    auto const result = this->endpoint_rows.announce(this->time.now(), std::move(record));
    this->announced.insert(id);
    if (result == endpoint_result::added)
        this->events.emit(
            severity::info, "endpoint.announced",
            {{"endpoint", id.value()}, {"service", service.value()}, {"version", version.value()}});
    if (result == endpoint_result::full)
        this->events.emit(severity::error, "endpoint.directory_full", {{"endpoint", id.value()}});
    // Other entries may list the endpoint as serving although it is new here.
    bool const must_spread_mark = result == endpoint_result::marked_leaving ||
                                  (result == endpoint_result::added && is_record_leaving);
    if (must_spread_mark)
    {
        this->events.emit(severity::info, "endpoint.leaving", {{"endpoint", id.value()}});
        this->add_local_endpoint_mark(id);
    }
    this->schedule_marks();
    this->on_change();
    return result;
}

void gossip_driver::add_local_endpoint_mark(endpoint_id const& id)
{
    if (auto row = this->endpoint_rows.find(this->time.now(), id))
        this->add_leaving_mark(std::move(*row), {});
}

void gossip_driver::add_local_entry_mark(vm_id const& vm)
{
    if (auto status = this->entry_rows.find(this->time.now(), vm))
        this->add_leaving_mark(std::move(status->record), {});
}

void gossip_driver::remove(endpoint_id const& id)
{
    auto const now = this->time.now();
    // The row cannot be found any more once it is removed.
    auto const row = this->endpoint_rows.find(now, id);
    auto const result = this->endpoint_rows.remove(now, id);
    if (result == connection::endpoint_result::not_found)
        return;
    this->events.emit(severity::info, "endpoint.removed", {{"endpoint", id.value()}});
    if (row)
        this->add_leaving_mark(*row, {});
    this->schedule_marks();
    this->on_change();
}

void gossip_driver::set_leaving(vm_id const& vm)
{
    auto const now = this->time.now();
    connection::reclaim_notice notice;
    notice.vm = vm;
    notice.deadline = now + this->options.drain_timeout;
    for (auto const& id : this->endpoint_rows.apply(now, notice))
        this->add_local_endpoint_mark(id);
    if (this->entry_rows.set_leaving(now, vm) == connection::entry_result::marked_leaving)
    {
        this->events.emit(severity::info, "entry.leaving", {{"entry", vm.value()}});
        this->add_local_entry_mark(vm);
    }
    this->schedule_marks();
    this->on_change();
}

void gossip_driver::apply_notices(std::vector<cloud_notice> const& notices)
{
    auto const now = this->time.now();
    for (auto const& received : notices)
    {
        connection::reclaim_notice notice;
        notice.vm = received.vm;
        notice.zone = received.zone;
        notice.deadline = now + (received.deadline - this->time.wall_now());
        // A notice for a zone applies to reclaimable VMs only; on-demand VMs stay.
        notice.reclaimable_only = received.vm.value().empty();
        for (auto const& id : this->endpoint_rows.apply(now, notice))
        {
            this->add_local_endpoint_mark(id);
            this->events.emit(severity::warning, "endpoint.reclaimed",
                              {{"endpoint", id.value()},
                               {"vm", received.vm.value()},
                               {"zone", received.zone.value()},
                               {"deadline", format_wall_time(received.deadline)}});
        }
        if (!received.vm.value().empty() && this->entry_rows.set_leaving(now, received.vm) ==
                                                connection::entry_result::marked_leaving)
        {
            this->add_local_entry_mark(received.vm);
            this->events.emit(severity::warning, "entry.reclaimed",
                              {{"entry", received.vm.value()}});
        }
    }
    this->schedule_marks();
    this->on_change();
}

} // namespace lagoonladder::control
