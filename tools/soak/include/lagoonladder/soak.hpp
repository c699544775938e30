#ifndef LAGOONLADDER_SOAK_HPP
#define LAGOONLADDER_SOAK_HPP

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <lagoonladder/base.hpp>

namespace lagoonladder::soak
{

/// Time since the start of the run.
using run_time = duration;

/// One machine at one address. A machine that replaces another one has a new id.
enum class entry_id : std::uint32_t
{
};

enum class config_version : std::uint64_t
{
};

/// Bad input or an environment in which the run cannot start: exit code 2.
class input_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// --- history

/// A configuration that the operator is about to send for the first time.
struct change_event
{
    run_time at{};
    config_version version{};
    bool valid = true;
    std::vector<std::string> added;
    std::vector<std::string> removed;
};

/// One attempt to store a configuration. `status` is 0 without an answer, here and below.
struct put_event
{
    run_time sent{};
    run_time ended{};
    entry_id entry{};
    config_version version{};
    int status = 0;
};

/// One reading of the configuration. `intact` is false when the routes are not those that the
/// operator sent under that version.
struct read_event
{
    run_time sent{};
    run_time ended{};
    entry_id entry{};
    int status = 0;
    config_version version{};
    bool intact = true;
};

/// One call on a route. `ran` is true when a replica ran it.
struct call_event
{
    run_time sent{};
    run_time ended{};
    entry_id entry{};
    std::string route;
    int status = 0;
    std::string id;
    bool ran = false;
};

enum class fault_kind
{
    start,
    kill,
    stop,
    resume,
    terminate,
    exit,
    reload,
    lose_disk,
    replace,
    fill_disk,
    free_disk,
    kill_core,
    busy,
    idle,
};

/// Returns the name of a kind in histories.
std::string to_string(fault_kind kind);

/// Something that was done to an entry or that it did by itself (`exit`). `replace` is the moment
/// at which the successor of a removed machine starts.
struct fault_event
{
    run_time at{};
    entry_id entry{};
    fault_kind kind{};
    bool has_disk = false;
};

/// The final fault: all processes were killed at `killed`; the last one was started at `back`.
struct final_event
{
    run_time killed{};
    run_time back{};
    std::vector<entry_id> entries;
};

struct history
{
    std::vector<change_event> changes;
    std::vector<put_event> puts;
    std::vector<read_event> reads;
    std::vector<call_event> calls;
    std::vector<fault_event> faults;
    std::optional<final_event> final_fault;
};

void to_json(nlohmann::json& json, change_event const& event);
void to_json(nlohmann::json& json, put_event const& event);
void to_json(nlohmann::json& json, read_event const& event);
void to_json(nlohmann::json& json, call_event const& event);
void to_json(nlohmann::json& json, fault_event const& event);
void to_json(nlohmann::json& json, final_event const& event);

// --- checks

/// Bounds of the rule on configurations.
struct check_bounds
{
    /// After an acknowledgement, until every entry reads and obeys the version.
    duration apply = seconds(2);
    /// An entry is in touch when nothing happened to it or to an entry with a disk for this long.
    duration contact = seconds(3);
    /// Answers that overlap may show states in the wrong order for this long.
    duration downgrade_slack = milliseconds(250);
    /// As `downgrade_slack`, after the end of a freeze.
    duration frozen_slack = seconds(2);
    /// After all processes are back, until the newest version is read at every entry.
    duration recovery = seconds(12);
};

struct violation
{
    std::string rule;
    run_time at{};
    entry_id entry{};
    std::string text;
};

using violations = std::vector<violation>;

/// A valid configuration is never refused, an invalid one never acknowledged or read.
violations check_answers(history const& recorded);
/// Reads sent later than `apply` after an acknowledgement return no older version, and what is
/// read is what was sent.
violations check_reads(history const& recorded, check_bounds const& bounds);
/// Calls on an added route are not refused as unknown by an entry in touch.
violations check_added_routes(history const& recorded, check_bounds const& bounds);
/// No process goes back to an older configuration than it has shown.
violations check_regressions(history const& recorded, check_bounds const& bounds);
/// Calls on a removed route do not run at an entry in touch.
violations check_removed_routes(history const& recorded, check_bounds const& bounds);
/// After the final fault, the newest acknowledged version is read at every entry.
violations check_final_state(history const& recorded, check_bounds const& bounds);
/// No process ends by itself, except while its disk is full.
violations check_exits(history const& recorded);
/// The run kept to what the deployment allows: one entry with a disk lost at a time, counted until
/// `catch_up` after its return, except while all of them are killed together.
violations check_losses(history const& recorded, duration catch_up);
/// All checks above except check_losses().
violations check_all(history const& recorded, check_bounds const& bounds);

// --- summary

struct summary
{
    std::size_t acknowledged = 0;
    std::size_t reads = 0;
    std::size_t answered_reads = 0;
    std::size_t calls = 0;
    std::size_t answered_calls = 0;
    /// Answered calls, sent to entries in touch, that the checks of added and removed routes judge.
    std::size_t judged_added = 0;
    std::size_t judged_removed = 0;
    /// Calls on removed routes that ran late at entries out of touch, which the rule allows.
    std::size_t late_runs_out_of_touch = 0;
    std::map<std::string, std::size_t> faults;
    /// From each acknowledgement of a version with new routes to the end of the first call that an
    /// entry served on a route of that version or a newer one, for each entry to which nothing
    /// happened meanwhile; 0 when it was served before. Sorted.
    std::vector<duration> lags;
};

summary summarize(history const& recorded, check_bounds const& bounds);
std::string format(summary const& totals);

// --- settings

/// Fills in a settings template: values, `#` and `^` sections. Throws input_error for forms that
/// are not supported and for sections without an end.
std::string fill_template(std::string const& text, nlohmann::json const& fields);

// --- faults

enum class fault_target
{
    core,
    other,
};

/// One fault of a series.
struct planned_fault
{
    fault_kind kind{};
    /// Index into the entries that the series may harm.
    std::size_t victim = 0;
    /// Time down, frozen or full.
    duration length{};
    /// Pause after the victim is back and has caught up.
    duration pause{};
};

/// Draws the next fault of a series; the same engine state gives the same fault.
planned_fault draw_fault(std::mt19937_64& random, fault_target target, std::size_t victims);

/// Returns a number from `low` to `high`; the same on all platforms.
std::uint64_t draw_number(std::mt19937_64& random, std::uint64_t low, std::uint64_t high);
duration draw_duration(std::mt19937_64& random, duration low, duration high);

// --- configurations

/// The configurations that the operator sends; each builds on the one before.
class configuration_series
{
public:
    /// `services` are the services that routes may name.
    explicit configuration_series(std::vector<std::string> services);

    /// Draws the next valid change. The first one is the initial configuration.
    change_event next_change(std::mt19937_64& random);
    /// Draws an invalid change, which names an unknown service. Later changes do not build on it.
    change_event next_invalid_change(std::mt19937_64& random);
    /// Returns the text of a version that was drawn before.
    std::string content(config_version version) const;
    std::set<std::string> const& routes(config_version version) const;

private:
    config_version take_version(std::mt19937_64& random);
    change_event draw_change(std::mt19937_64& random);

    struct stored_change
    {
        std::map<std::string, std::string> service_by_route;
        std::set<std::string> names;
    };

    std::vector<std::string> services;
    std::map<config_version, stored_change> changes;
    std::map<std::string, std::string> current;
    std::uint64_t newest = 0;
};

/// Host and key that all calls of the run use.
inline constexpr char const* call_host = "soak.example";
inline constexpr char const* call_key = "key-of-the-soak";

// --- the run

struct run_options
{
    std::uint64_t seed = 1;
    duration length = seconds(60);
    std::size_t entries = 10;
    std::filesystem::path binary;
    std::filesystem::path settings_template;
    std::filesystem::path history_file;
    /// Receives the logs of all entries; empty: they are removed after the run.
    std::filesystem::path logs;
    /// First two numbers of the loopback addresses that the run uses, "127.90".
    std::string network = "127.90";
};

/// Plays one run. `interrupted` is asked many times a second. Returns std::nullopt when it became
/// true. Throws input_error.
std::optional<history> play(run_options const& options, std::function<bool()> const& interrupted);

} // namespace lagoonladder::soak

#endif
