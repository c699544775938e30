#ifndef LAGOONLADDER_FAKES_ANNOUNCER_HPP
#define LAGOONLADDER_FAKES_ANNOUNCER_HPP

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "endpoint_options.hpp"
#include "load_report.hpp"

namespace lagoonladder::fakes
{

/// Announces an endpoint to one of the entries once a second and switches to the next entry
/// when the announcement fails.
class announcer
{
public:
    /// `add_fields` adds changing fields, for example `load`, to an announcement.
    announcer(endpoint_options const& options, std::function<void(nlohmann::json&)> add_fields);
    ~announcer();
    announcer(announcer const&) = delete;
    announcer& operator=(announcer const&) = delete;

    /// Starts the announcements; does nothing when no entries are configured.
    void start();
    /// Announces the state `leaving` now and in all later announcements.
    void leave();
    void set_version(std::string const& version);
    /// Ends the announcements and removes the endpoint from the entries with DELETE.
    void stop();

private:
    void run();
    nlohmann::json next_announcement();
    /// Tries the entries in turn, starting with the current one, until `attempt` returns true.
    bool try_entries(std::function<bool(std::string const& entry)> const& attempt);
    bool put_announcement(std::string const& entry, std::string const& body) const;
    bool remove_endpoint(std::string const& entry) const;

    endpoint_options options;
    std::function<void(nlohmann::json&)> add_fields;
    std::uint64_t incarnation;
    std::mutex mutex;
    std::condition_variable state_changed;
    bool leaving = false;
    bool stopping = false;
    bool announce_now = false;
    std::uint64_t sequence = 0;
    std::size_t current_entry_index = 0;
    std::thread worker;
};

} // namespace lagoonladder::fakes

#endif
