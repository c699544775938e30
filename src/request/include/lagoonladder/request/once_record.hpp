#ifndef LAGOONLADDER_REQUEST_ONCE_RECORD_HPP
#define LAGOONLADDER_REQUEST_ONCE_RECORD_HPP

#include <map>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include <lagoonladder/base.hpp>

namespace lagoonladder::request
{

/// Identifies one piece of non-idempotent work.
struct once_key
{
    account_id account;
    service_name service;
    idempotency_key key;

    friend auto operator<=>(once_key const&, once_key const&) = default;
};

enum class once_state
{
    /// Permission to send the request to an endpoint was committed.
    dispatched,
    /// The answer is stored.
    done,
    /// Dispatched, and no answer is known. A late answer still moves it to done.
    unknown,
    /// No attempt was dispatched; attempts that arrived before reopen_at stay refused.
    refused
};

struct stored_answer
{
    int status = 0;
    std::string content_type;
    std::string body;
};

/// Asks for permission to dispatch; commits `dispatched` when granted.
struct once_begin
{
    once_key key;
    /// Digest of method, path and body.
    std::string body_digest;
    attempt_id attempt;
    /// When the entry received the request.
    wall_time arrived;
    /// When an attempt without an answer becomes `unknown`.
    wall_time deadline;
};

/// Commits that no attempt which arrived before now + retry_after is dispatched.
/// For the attempt that holds the grant it withdraws the grant; the entry
/// sends it only if no byte went to an endpoint.
struct once_refuse
{
    once_key key;
    std::string body_digest;
    attempt_id attempt;
    duration retry_after{};
};

/// Stores the answer of a dispatched attempt; no answer means its outcome is unknown.
struct once_finish
{
    once_key key;
    attempt_id attempt;
    std::optional<stored_answer> answer;
};

enum class once_verdict
{
    /// This attempt, and no other, may dispatch.
    granted,
    /// Nothing was dispatched, and this attempt may not dispatch.
    refused,
    /// Another attempt was dispatched; its outcome is not known yet.
    in_progress,
    /// The stored answer is returned.
    answered,
    /// Dispatched earlier; the outcome is unknown.
    outcome_unknown,
    /// The key was used with another method, path or body.
    conflict
};

struct once_reply
{
    once_verdict verdict = once_verdict::outcome_unknown;
    /// The attempt that was dispatched, if any.
    attempt_id attempt;
    std::optional<stored_answer> answer;
    /// From when a resend is accepted, for `refused`.
    wall_time reopen_at{};
};

void to_json(nlohmann::json& out, once_key const& in);
void from_json(nlohmann::json const& in, once_key& out);
void to_json(nlohmann::json& out, stored_answer const& in);
void from_json(nlohmann::json const& in, stored_answer& out);
void to_json(nlohmann::json& out, once_begin const& in);
void from_json(nlohmann::json const& in, once_begin& out);
void to_json(nlohmann::json& out, once_refuse const& in);
void from_json(nlohmann::json const& in, once_refuse& out);
void to_json(nlohmann::json& out, once_finish const& in);
void from_json(nlohmann::json const& in, once_finish& out);
void to_json(nlohmann::json& out, once_reply const& in);
void from_json(nlohmann::json const& in, once_reply& out);

/// All at-most-once records. Deterministic: replicas that apply the same
/// commands with the same times hold the same records.
class once_table
{
public:
    /// Records are dropped this long after their last change.
    static constexpr duration retention = std::chrono::hours(24);

    /// `now` is the time that the leader put into the log entry.
    once_reply begin(wall_time now, once_begin const& command);
    once_reply refuse(wall_time now, once_refuse const& command);
    once_reply finish(wall_time now, once_finish const& command);

    /// State of a key without changing it; no value when the key is not known.
    std::optional<once_reply> find(once_key const& key) const;

    /// Moves attempts past their deadline to `unknown` and drops old records.
    void expire(wall_time now);

    std::size_t size() const { return this->records.size(); }

    nlohmann::json snapshot() const;
    void restore(nlohmann::json const& state);

private:
    struct record
    {
        once_state state = once_state::refused;
        std::string body_digest;
        attempt_id attempt;
        wall_time deadline{};
        wall_time changed{};
        wall_time reopen_at{};
        std::optional<stored_answer> answer;
    };

    once_reply reply_for(once_key const& key, record const& known) const;

    std::map<once_key, record> records;
};

} // namespace lagoonladder::request

#endif
