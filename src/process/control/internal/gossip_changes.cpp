#include "gossip_driver.hpp"

namespace lagoonladder::control
{

connection::endpoint_result gossip_driver::announce(connection::endpoint_record record,
                                                    acknowledgement_handler done)
{
    using connection::endpoint_result;
    auto const sent = record;
    bool const is_leaving = sent.state == connection::endpoint_state::leaving;
    auto const result = this->endpoint_rows.announce(this->time.now(), std::move(record));
    this->announced.insert(sent.id);
    if (result == endpoint_result::added)
        this->events.emit(severity::info, "endpoint.announced",
                          {{"endpoint", sent.id.value()},
                           {"service", sent.service.value()},
                           {"version", sent.version.value()}});
    if (result == endpoint_result::full)
        this->events.emit(severity::error, "endpoint.directory_full",
                          {{"endpoint", sent.id.value()}});
    // Other entries may list the endpoint as serving although it is new here.
    bool const is_new_mark = result == endpoint_result::marked_leaving ||
                             (result == endpoint_result::added && is_leaving);
    if (is_new_mark)
    {
        this->events.emit(severity::info, "endpoint.leaving", {{"endpoint", sent.id.value()}});
        this->add_local_endpoint_mark(sent.id);
    }
    auto const row = this->endpoint_rows.find_gossiped(this->time.now(), sent.id);
    bool const is_current = row && row->incarnation == sent.incarnation;
    if (is_leaving && is_current)
        this->acknowledge_leaving(*row, std::move(done));
    else
        done(true);
    this->schedule_marks();
    this->on_change();
    return result;
}

void gossip_driver::add_local_endpoint_mark(endpoint_id const& id)
{
    if (auto row = this->endpoint_rows.find_gossiped(this->time.now(), id))
        this->add_leaving_mark(std::move(*row), {});
}

void gossip_driver::add_local_entry_mark(vm_id const& vm)
{
    if (auto status = this->entry_rows.find(this->time.now(), vm))
        this->add_leaving_mark(std::move(status->record), {});
}

void gossip_driver::remove(endpoint_id const& id, acknowledgement_handler done)
{
    auto const now = this->time.now();
    auto const row = this->endpoint_rows.find_gossiped(now, id);
    if (!row)
    {
        // After a start, the rows of all endpoints arrive within a lease. Until then other entries
        // may list the endpoint, and another entry has to take its report.
        return done(now - this->started >= this->options.endpoint_lease);
    }
    auto const result = this->endpoint_rows.remove(now, id);
    if (result == connection::endpoint_result::marked_leaving)
    {
        this->events.emit(severity::info, "endpoint.removed", {{"endpoint", id.value()}});
        this->add_leaving_mark(*row, {});
    }
    this->acknowledge_leaving(*row, std::move(done));
    this->schedule_marks();
    this->on_change();
}

void gossip_driver::acknowledge_leaving(connection::endpoint_record const& row,
                                        acknowledgement_handler done)
{
    auto const now = this->time.now();
    // The mark may have been set here long ago without reaching another entry.
    if (!this->acknowledger.contains(row.id, row.incarnation))
        this->add_leaving_mark(row, {});
    bool const is_only_entry = this->entry_rows.all(now).size() == 1;
    if (is_only_entry)
        return done(true);
    // An entry that considers all others dead may be the one that is cut off.
    auto const available = std::max<std::size_t>(this->entry_rows.live_peers(now).size(), 1);
    this->acknowledger.wait(
        now, row.id, available,
        [this, id = row.id, done = std::move(done)](bool is_replicated)
        {
            if (!is_replicated)
                this->events.emit(severity::warning, "endpoint.leaving_refused",
                                  {{"endpoint", id.value()},
                                   {"reason", "no other entry has confirmed the leaving mark"}});
            done(is_replicated);
        });
    this->schedule_acknowledgements();
}

void gossip_driver::schedule_acknowledgements()
{
    auto const deadline = this->acknowledger.next_deadline();
    if (!deadline || this->stopped)
        return;
    this->acknowledgement_timer.expires_after(std::max(*deadline - this->time.now(), duration(0)));
    this->acknowledgement_timer.async_wait(
        [this](asio::error_code const& problem)
        {
            if (problem || this->stopped)
                return;
            this->acknowledger.expire(this->time.now());
            this->schedule_acknowledgements();
        });
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
