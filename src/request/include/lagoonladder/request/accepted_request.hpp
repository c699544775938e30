#ifndef LAGOONLADDER_REQUEST_ACCEPTED_REQUEST_HPP
#define LAGOONLADDER_REQUEST_ACCEPTED_REQUEST_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <lagoonladder/base.hpp>
#include <lagoonladder/request/queued_request.hpp>

namespace lagoonladder::request
{

/// Parts of a request id of the form "owner-companion-sequence".
struct request_id_parts
{
    vm_id owner;
    vm_id companion;
    std::string sequence;
};

/// Builds "owner-companion-sequence". In VM ids "~" is escaped as "~0" and "-" as "~1". The owner
/// must never use a `sequence` twice, even after a restart.
request_id make_request_id(vm_id const& owner, vm_id const& companion, std::uint64_t sequence);

/// Returns no value when the text is not a valid request id.
std::optional<request_id_parts> parse_request_id(request_id const& id);

/// A completion request as the caller sent it, with everything that another entry needs to finish
/// it.
struct accepted_request
{
    request_id id;
    account_id account;
    service_name service;
    version_name version;
    /// HTTP path and JSON body.
    std::string path;
    std::string body;
    request_priority priority = request_priority::interactive;
    wall_time deadline{};
    vm_id owner;
    vm_id companion;
};

/// Final state of a request: its finish reason, or the problem+json document of its failure.
struct request_outcome
{
    std::string finish_reason;
    std::string failure;
    std::uint32_t failure_status = 0;
};

/// State of a request at one of the two entries that hold it.
enum class holder_state
{
    /// Owner: the request was accepted, but the companion has not confirmed that it holds a copy,
    /// so no byte of the response may be sent yet.
    storing,
    /// Owner: the companion holds a copy; the response may be sent.
    running,
    /// Owner: the companion takes over; this entry only relays the tokens of the companion.
    handed_over,
    /// Companion: the owner works on the request.
    holding,
    /// Companion: this entry took the request over and works on it.
    taking_over,
    finished
};

char const* to_string(holder_state state);

/// Result of a change of the journal.
enum class journal_result
{
    stored,
    /// The request, tokens or outcome were already stored.
    known,
    /// The size limit is reached; the request was not stored.
    full,
    not_found,
    /// Tokens before the given offset are missing; nothing was stored.
    gap,
    /// The other entry works on the request now, or the request is finished; nothing was stored.
    superseded
};

char const* to_string(journal_result result);

struct journal_options
{
    std::size_t max_requests = 10'000;
    /// Bytes of bodies and tokens over all requests. To make room for a new request, finished
    /// requests are dropped before their retention ends, oldest first; if that is not enough, the
    /// new request is refused. Tokens of stored requests are always accepted.
    std::size_t max_bytes = 32 * 1024 * 1024;
    /// Time for which a finished request can be fetched.
    duration retention = std::chrono::minutes(10);
    /// Time without a change after which an unfinished request is dropped.
    duration max_idle = std::chrono::minutes(30);
};

/// A request that this entry, as its companion, has to finish.
struct take_over
{
    accepted_request request;
    /// Offset of the first token that is not stored; a new attempt continues here.
    token_offset resume_at;
    std::vector<std::string> tokens;
};

/// Tokens, and the outcome if there is one, that an owner sends to its companion next.
struct progress_batch
{
    token_offset offset;
    std::vector<std::string> tokens;
    std::optional<request_outcome> outcome;
};

enum class fetch_status
{
    found,
    not_found,
    /// The id belongs to another account.
    forbidden
};

/// Result of fetching the tokens of a request.
struct fetch_result
{
    fetch_status status = fetch_status::not_found;
    token_offset offset;
    std::vector<std::string> tokens;
    std::optional<request_outcome> outcome;
    holder_state state = holder_state::holding;
};

/// Stores the accepted completion requests that this entry holds as owner or as companion, with the
/// tokens generated so far. Not safe for concurrent calls.
class request_journal
{
public:
    explicit request_journal(vm_id self, journal_options options = {});

    /// Owner: stores a request that this entry accepted.
    journal_result accept(time_point now, accepted_request request);
    /// Owner: the companion confirmed that it holds the request.
    journal_result confirm_held(time_point now, request_id const& id);
    /// Owner: the companion confirmed that it holds all tokens before `next`, and the outcome if
    /// `has_outcome`.
    journal_result confirm_progress(time_point now, request_id const& id, token_offset next,
                                    bool has_outcome = false);
    /// Owner: tokens and outcome that the companion has not confirmed; no value when there are
    /// none.
    std::optional<progress_batch> pending_progress(request_id const& id) const;
    /// Owner: the companion has taken the request over, or is requested to.
    journal_result hand_over(time_point now, request_id const& id);
    /// Owner: returns the ids of the unfinished requests that have this companion. When the
    /// companion is unreachable, they exist at this entry only.
    std::vector<request_id> unfinished_with_companion(vm_id const& companion) const;

    /// Companion: stores a request for its owner.
    journal_result hold(time_point now, accepted_request request);
    /// Companion: stores progress that the owner sent. The result `superseded` informs an owner
    /// that it no longer owns the request.
    journal_result progress(time_point now, request_id const& id, progress_batch const& batch);
    /// Companion: the owner is dead or has left. Returns its unfinished requests, each of them only
    /// once.
    std::vector<take_over> owner_lost(time_point now, vm_id const& owner);
    /// Companion: the owner handed over this request. No value when it is not in the state
    /// `holding`.
    std::optional<take_over> take(time_point now, request_id const& id);

    /// The entry that works on the request (the owner, or the companion after a take-over)
    /// forwarded tokens to the caller.
    journal_result append(time_point now, request_id const& id, token_offset offset,
                          std::vector<std::string> const& tokens);
    /// The entry that works on the request finished it.
    journal_result finish(time_point now, request_id const& id, request_outcome outcome);

    /// Returns the tokens from `offset` on to the account that sent the request. The result has no
    /// tokens while fewer than `offset` are stored here.
    fetch_result fetch(request_id const& id, account_id const& account, token_offset offset) const;

    std::optional<holder_state> state_of(request_id const& id) const;
    std::optional<token_offset> next_offset(request_id const& id) const;

    /// Drops finished requests after the retention and unfinished ones after `max_idle` without a
    /// change. Returns the ids of the unfinished requests that were dropped.
    std::vector<request_id> expire(time_point now);

    std::size_t size() const { return this->requests.size(); }
    std::size_t bytes() const { return this->stored_bytes; }
    /// Number of unfinished requests that this entry works on, as owner or after a take-over.
    std::size_t working_count() const;

private:
    struct journal_record
    {
        accepted_request request;
        holder_state state = holder_state::storing;
        std::vector<std::string> tokens;
        std::optional<request_outcome> outcome;
        /// Owner: first token that the companion has not confirmed.
        token_offset first_unconfirmed;
        /// Owner: the companion has confirmed the outcome.
        bool is_outcome_confirmed = false;
        /// Companion: the owner sent the outcome.
        bool is_finished_by_owner = false;
        time_point last_change{};
    };

    static bool is_working(journal_record const& record);
    journal_record* find(request_id const& id);
    journal_result insert(time_point now, accepted_request request, holder_state state);
    journal_result add_tokens(time_point now, journal_record& record, token_offset offset,
                              std::vector<std::string> const& tokens);
    void set_outcome(time_point now, journal_record& record, request_outcome outcome);
    static take_over start_take_over(time_point now, journal_record& record);
    bool make_room(std::size_t bytes);
    void erase(std::map<request_id, journal_record>::iterator position);

    vm_id self;
    journal_options options;
    std::map<request_id, journal_record> requests;
    /// Bytes of bodies, paths, tokens and outcomes.
    std::size_t stored_bytes = 0;
};

} // namespace lagoonladder::request

#endif
