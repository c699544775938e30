#ifndef LAGOONLADDER_REQUEST_AT_MOST_ONCE_RECORD_HPP
#define LAGOONLADDER_REQUEST_AT_MOST_ONCE_RECORD_HPP

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include <lagoonladder/base.hpp>

namespace lagoonladder::request
{

/// Identifies one piece of non-idempotent work.
struct at_most_once_key
{
    account_id account;
    service_name service;
    idempotency_key key;

    friend auto operator<=>(at_most_once_key const&, at_most_once_key const&) = default;
};

/// State of one piece of work.
enum class at_most_once_state
{
    /// Permission to send the request to an endpoint was committed.
    dispatched,
    /// The answer is stored.
    done,
    /// The request was dispatched, and no answer is known. A late answer still changes the state to
    /// `done`.
    unknown,
    /// No attempt was dispatched. Attempts that arrived before `reopen_at` stay refused.
    refused
};

struct stored_answer
{
    int status = 0;
    std::string content_type;
    std::string body;
};

/// Command: requests permission to dispatch an attempt; commits the state `dispatched` when
/// granted.
struct at_most_once_begin
{
    at_most_once_key key;
    /// Digest of method, path and body.
    std::string body_digest;
    attempt_id attempt;
    /// Time at which the entry received the request.
    wall_time arrived;
    /// Time at which an attempt without an answer becomes `unknown`.
    wall_time deadline;
};

/// Command: commits that no attempt that arrives before now + retry_after is dispatched. If the
/// attempt of the command holds the grant, the grant is withdrawn; the entry of that attempt may
/// send this command only if no byte of the request was sent to an endpoint.
struct at_most_once_refuse
{
    at_most_once_key key;
    std::string body_digest;
    attempt_id attempt;
    duration retry_after{};
};

/// Command: stores the answer of a dispatched attempt. Without an answer, the outcome of the
/// attempt is unknown.
struct at_most_once_finish
{
    at_most_once_key key;
    attempt_id attempt;
    std::optional<stored_answer> answer;
};

/// Decision on an attempt.
enum class at_most_once_verdict
{
    /// This attempt, and no other one, may be dispatched.
    granted,
    /// No attempt was dispatched, and this one may not be dispatched.
    refused,
    /// Another attempt was dispatched; its outcome is not known yet.
    in_progress,
    /// The stored answer is returned.
    answered,
    /// An attempt was dispatched earlier; its outcome is unknown.
    outcome_unknown,
    /// The key was used before with another method, path or body.
    conflict
};

/// Reply to a command.
struct at_most_once_reply
{
    at_most_once_verdict verdict = at_most_once_verdict::outcome_unknown;
    /// The attempt that was dispatched, if any.
    attempt_id attempt;
    std::optional<stored_answer> answer;
    /// For `refused`: time from which a resent request is accepted.
    wall_time reopen_at{};
};

void to_json(nlohmann::json& out, at_most_once_key const& in);
void from_json(nlohmann::json const& in, at_most_once_key& out);
void to_json(nlohmann::json& out, stored_answer const& in);
void from_json(nlohmann::json const& in, stored_answer& out);
void to_json(nlohmann::json& out, at_most_once_begin const& in);
void from_json(nlohmann::json const& in, at_most_once_begin& out);
void to_json(nlohmann::json& out, at_most_once_refuse const& in);
void from_json(nlohmann::json const& in, at_most_once_refuse& out);
void to_json(nlohmann::json& out, at_most_once_finish const& in);
void from_json(nlohmann::json const& in, at_most_once_finish& out);
void to_json(nlohmann::json& out, at_most_once_reply const& in);
void from_json(nlohmann::json const& in, at_most_once_reply& out);

/// Records of all non-idempotent work that is executed at most once. Deterministic: replicas that
/// apply the same commands with the same times hold the same records.
class at_most_once_table
{
public:
    /// Time after its last change at which a record is dropped.
    static constexpr duration retention = std::chrono::hours(24);

    /// A begin command whose request arrived at least this long ago is not granted when its key has
    /// no record, because the record may have been dropped. The margin to the retention is larger
    /// than the difference between the clocks of any two entries.
    static constexpr duration max_arrival_age = std::chrono::hours(23);

    /// Maximum number of refused attempts that a record lists. Older ones stay refused by
    /// `reopen_at`.
    static constexpr std::size_t max_retired = 128;

    /// `now` is the time that the leader put into the log entry.
    at_most_once_reply begin(wall_time now, at_most_once_begin const& command);
    at_most_once_reply refuse(wall_time now, at_most_once_refuse const& command);
    at_most_once_reply finish(wall_time now, at_most_once_finish const& command);

    /// Returns the state of a key without changing it; no value when the key has no record.
    std::optional<at_most_once_reply> find(at_most_once_key const& key) const;

    /// Changes attempts past their deadline to `unknown` and drops old records.
    void expire(wall_time now);

    std::size_t size() const { return this->records.size(); }

    nlohmann::json snapshot() const;
    /// Throws parse_error, and changes nothing, when `state` is not a valid snapshot.
    void restore(nlohmann::json const& state);

private:
    struct retired_attempt
    {
        attempt_id attempt;
        wall_time retired_at{};
    };

    struct record
    {
        at_most_once_state state = at_most_once_state::refused;
        std::string body_digest;
        /// The attempt that holds the grant; empty while the state is `refused`.
        attempt_id attempt;
        wall_time deadline{};
        wall_time changed{};
        wall_time reopen_at{};
        std::optional<stored_answer> answer;
        /// Attempts that were refused or withdrawn, oldest first.
        std::vector<retired_attempt> retired;
    };

    using record_map = std::map<at_most_once_key, record>;

    friend void to_json(nlohmann::json& out, retired_attempt const& in);
    friend void from_json(nlohmann::json const& in, retired_attempt& out);
    friend void to_json(nlohmann::json& out, record const& in);
    friend void from_json(nlohmann::json const& in, record& out);

    static at_most_once_reply reply_for(record const& existing);
    static wall_time due_time(record const& existing);
    static bool is_retired(record const& existing, attempt_id const& attempt);
    static bool may_grant(record const& existing, wall_time now, at_most_once_begin const& command);
    static void retire(record& existing, wall_time now, attempt_id const& attempt);
    static void check_invariants(record const& existing);
    void grant(record_map::iterator position, wall_time now, at_most_once_begin const& command);
    /// Sets the state to `refused` and retires the attempt of the command.
    void set_refused(record_map::iterator position, wall_time now,
                     at_most_once_refuse const& command);
    /// Applies a change to the record and updates its due time.
    template <class Change>
    void update(record_map::iterator position, Change change);

    record_map records;
    /// Times at which expire() has to check a record again.
    std::set<std::pair<wall_time, at_most_once_key>> due;
};

} // namespace lagoonladder::request

#endif
