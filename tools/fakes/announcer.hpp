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

/// Announces an endpoint to the entries once a second: to one entry, and to the
/// next one when that fails.
class announcer
{
public:
    /// `describe` adds changing fields, for example `load`, to an announcement.
    announcer(endpoint_options const& options, std::function<void(nlohmann::json&)> describe);
    ~announcer();
    announcer(announcer const&) = delete;
    announcer& operator=(announcer const&) = delete;

    void start();
    /// Announces `leaving` at once and from then on.
    void leave();
    void set_version(std::string const& version);
    /// Sends DELETE and ends the announcements.
    void stop();

private:
    void run();
    nlohmann::json next_row();
    bool send(std::function<bool(std::string const& entry)> const& attempt);
    bool put(std::string const& entry, std::string const& body) const;
    bool remove(std::string const& entry) const;

    endpoint_options options;
    std::function<void(nlohmann::json&)> describe;
    std::uint64_t incarnation;
    std::mutex mutex;
    std::condition_variable changed;
    bool leaving = false;
    bool stopping = false;
    bool wake = false;
    std::uint64_t sequence = 0;
    std::size_t current_entry = 0;
    std::thread worker;
};

} // namespace lagoonladder::fakes

#endif
