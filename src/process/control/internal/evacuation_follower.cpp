#include "evacuation_follower.hpp"

namespace lagoonladder::control
{

void evacuation_follower::record(version::shared_status const& status)
{
    this->record(status.applied_index, status.evacuations);
}

void evacuation_follower::record(std::uint64_t index, version::evacuation_records const& records)
{
    if (index < this->applied_index)
        return;
    this->applied_index = index;
    this->newest = records;
}

evacuation_follower::state_pointer evacuation_follower::complete(state_pointer state)
{
    this->record(state->applied_index, state->evacuations);
    if (state->evacuations == this->newest)
        return state;
    auto completed = std::make_shared<version::shared_state>(*state);
    completed->evacuations = this->newest;
    return completed;
}

void report_evacuations(version::shared_state const& previous, version::shared_state const& current,
                        event_sink& events)
{
    for (auto const& [data_centre, record] : current.evacuations)
    {
        bool const was_evacuated = version::is_evacuated(previous.evacuations, data_centre);
        bool const is_evacuated = !record.ended;
        if (was_evacuated != is_evacuated)
            events.emit(severity::info, is_evacuated ? "evacuation.started" : "evacuation.ended",
                        {{"data_centre", data_centre.value()},
                         {"index", std::to_string(current.changed_index)}});
    }
}

} // namespace lagoonladder::control
