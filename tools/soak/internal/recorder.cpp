#include "recorder.hpp"

namespace lagoonladder::soak
{

recorder::recorder(std::filesystem::path const& path)
{
    if (path.empty())
        return;
    this->file.open(path);
    if (!this->file)
        throw input_error("cannot write the history file " + path.string());
    auto const wall_time = std::chrono::system_clock::now().time_since_epoch();
    this->write({{"event", "begin"},
                 {"at_ms", 0},
                 {"wall_ms", std::chrono::duration_cast<milliseconds>(wall_time).count()}});
}

run_time recorder::now() const
{
    return std::chrono::duration_cast<run_time>(std::chrono::steady_clock::now() - this->begin);
}

void recorder::add(change_event const& event)
{
    this->store(this->events.changes, event);
}

void recorder::add(put_event const& event)
{
    this->store(this->events.puts, event);
}

void recorder::add(read_event const& event)
{
    this->store(this->events.reads, event);
}

void recorder::add(call_event const& event)
{
    this->store(this->events.calls, event);
}

void recorder::add(fault_event const& event)
{
    this->store(this->events.faults, event);
}

void recorder::add(final_event const& event)
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    this->events.final_fault = event;
    this->write(event);
}

void recorder::add_execution(std::string const& call_id)
{
    auto const at = this->now();
    std::lock_guard<std::mutex> const lock(this->mutex);
    this->executions.insert(call_id);
    this->write({{"event", "run"}, {"at_ms", to_seconds(at) * 1000}, {"id", call_id}});
}

history recorder::take()
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    this->taken = true;
    for (auto& call : this->events.calls)
        call.ran = this->executions.contains(call.id);
    return std::move(this->events);
}

template <class Event>
void recorder::store(std::vector<Event>& list, Event const& event)
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    if (this->taken)
        return;
    list.push_back(event);
    this->write(event);
}

void recorder::write(nlohmann::json const& line)
{
    // Flushed at once, so that the history of a run that is killed can be read.
    if (this->file.is_open())
        this->file << line.dump() << std::endl;
}

} // namespace lagoonladder::soak
