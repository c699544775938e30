#ifndef LAGOONLADDER_SOAK_RECORDER_HPP
#define LAGOONLADDER_SOAK_RECORDER_HPP

#include <chrono>
#include <fstream>
#include <mutex>

#include <lagoonladder/soak.hpp>

namespace lagoonladder::soak
{

/// Collects the events of a run and writes each one to the history file as a line of JSON. May be
/// called from any thread.
class recorder
{
public:
    /// An empty path writes no file. Throws input_error when the file cannot be written.
    explicit recorder(std::filesystem::path const& file);

    run_time now() const;
    void add(change_event const& event);
    void add(put_event const& event);
    void add(read_event const& event);
    void add(call_event const& event);
    void add(fault_event const& event);
    void add(final_event const& event);
    /// A replica ran the call with this id.
    void add_execution(std::string const& call_id);

    /// Ends the recording; later events are dropped.
    history take();

private:
    template <class Event>
    void store(std::vector<Event>& events, Event const& event);
    void write(nlohmann::json const& line);

    std::chrono::steady_clock::time_point const begin = std::chrono::steady_clock::now();
    std::mutex mutex;
    std::ofstream file;
    history events;
    std::set<std::string> executions;
    bool taken = false;
};

} // namespace lagoonladder::soak

#endif
