#ifndef LAGOONLADDER_SOAK_STAND_INS_HPP
#define LAGOONLADDER_SOAK_STAND_INS_HPP

#include <atomic>
#include <memory>
#include <thread>

#include <httplib.h>

#include "machine_list.hpp"
#include "recorder.hpp"

namespace lagoonladder::soak
{

/// Ends when `stop` becomes true, within one request.
using stop_flag = std::atomic<bool>;

/// An endpoint of a plain service that announces itself to the entries.
class replica
{
public:
    /// Throws input_error when the address is taken.
    replica(recorder& initial_history, machine_list const& initial_machines, std::string initial_id,
            std::string initial_service, std::string initial_ip, std::uint64_t seed);
    ~replica();
    replica(replica const&) = delete;
    replica& operator=(replica const&) = delete;

private:
    void answer(httplib::Request const& request, httplib::Response& response);
    void announce();
    bool announce_to(machine const& target, std::string const& body) const;

    recorder& history_recorder;
    machine_list const& machines;
    std::string id;
    std::string service;
    std::string ip;
    std::mt19937_64 random;
    stop_flag stop = false;
    httplib::Server server;
    std::thread server_thread;
    std::thread heartbeats;
};

/// The platform's interface; it takes every order.
class platform_interface
{
public:
    /// Throws input_error when the address is taken.
    explicit platform_interface(std::string const& ip);
    ~platform_interface();
    platform_interface(platform_interface const&) = delete;
    platform_interface& operator=(platform_interface const&) = delete;

private:
    httplib::Server server;
    std::thread server_thread;
};

/// Sends configurations. Its choices are drawn from the seed.
class configuration_operator
{
public:
    configuration_operator(recorder& initial_history, machine_list const& initial_machines,
                           std::vector<std::string> services, std::uint64_t seed);
    ~configuration_operator();
    configuration_operator(configuration_operator const&) = delete;
    configuration_operator& operator=(configuration_operator const&) = delete;

    /// Sends the initial configuration in a thread, and changes once it is acknowledged.
    void start();
    void request_stop() { this->stop = true; }
    /// Waits for the attempts that are in progress.
    void finish();

    /// Routes of a version; empty for an unknown one.
    std::set<std::string> routes(config_version version) const;
    /// Routes that were added by the newest versions, then those that were removed, newest first.
    std::vector<std::string> newest_routes() const;
    std::vector<std::string> removed_routes() const;

    /// Numbers of attempts that began and of versions that were acknowledged.
    std::atomic<std::size_t> attempts = 0;
    std::atomic<std::size_t> acknowledgements = 0;

private:
    void run();
    void make_changes();
    void send_invalid();
    void repeat_older();
    change_event take_change();
    void send_until_acknowledged(config_version version, std::uint64_t choice_seed);
    int send_once(config_version version, machine const& target);

    recorder& history_recorder;
    machine_list const& machines;
    std::mt19937_64 random;
    mutable std::mutex mutex;
    configuration_series series;
    std::vector<config_version> sent_versions;
    std::vector<std::string> added;
    std::vector<std::string> removed;
    stop_flag stop = false;
    std::thread worker;
};

/// Reads the configuration once; the answer is recorded and returned.
read_event read_configuration(recorder& history_recorder, configuration_operator const& source,
                              machine const& target);

/// Reads the configuration at random entries.
void run_reader(recorder& history_recorder, configuration_operator const& source,
                machine_list const& machines, std::uint64_t seed, stop_flag const& stop);

/// Calls added and removed routes at one entry over a kept connection.
void run_caller(recorder& history_recorder, configuration_operator const& source,
                machine_list const& machines, std::size_t slot, std::uint64_t seed,
                stop_flag const& stop);

} // namespace lagoonladder::soak

#endif
