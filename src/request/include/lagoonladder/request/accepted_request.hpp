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

/// The id's parts: "VM-companion-sequence".
struct request_id_parts
{
    vm_id owner;
    vm_id companion;
    std::string sequence;
};

/// Builds "VM-companion-sequence". In VM ids '~' becomes "~0" and '-' becomes "~1".
/// The caller chooses `sequence` so that it does not repeat after a restart.
request_id make_request_id(vm_id const& owner, vm_id const& companion, std::uint64_t sequence);

/// No value when the text is not a request id.
std::optional<request_id_parts> parse_request_id(request_id const& id);

/// A completion as the caller sent it, with what another entry needs to finish it.
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

/// Final state of a request: a finish reason, or the problem+json of a failure.
struct request_outcome
{
    std::string finish_reason;
    std::string failure;
    std::uint32_t failure_status = 0;
};

enum class holder_state
{
    /// Owner: accepted; the companion does not hold it yet, so no answer byte is sent.
    storing,
    /// Owner: the companion holds it; the answer may be sent.
    running,
    /// Owner: the companion takes over; this entry only relays what the companion has.
    handed_over,
    /// Companion: the owner works on it.
    holding,
    /// Companion: this entry works on it.
    taking_over,
    finished
};

char const* to_string(holder_state state);

enum class journal_result
{
    stored,
    /// Nothing new: the request, tokens or outcome were known.
    known,
    /// The bound is reached; the request is not held.
    full,
    not_found,
    /// Tokens before the offset are missing; nothing was stored.
    gap,
    /// The other entry has the request now, or it is finished; nothing was stored.
    superseded
};

char const* to_string(journal_result result);

struct journal_options
{
    std::size_t max_requests = 10'000;
    /// Bytes of bodies and tokens over all requests. Finished requests are dropped early,
    /// oldest first, before a new one is refused; tokens of held requests are always kept.
    std::size_t max_bytes = 32 * 1024 * 1024;
    /// How long a finished request can be fetch_result.
    duration retention = std::chrono::minutes(10);
    /// How long an unfinished request is kept after its last change.
    duration max_idle = std::chrono::minutes(30);
};

/// A request that this entry, as its companion, has to finish.
struct take_over
{
    accepted_request request;
    /// First token that is not known; a new attempt continues here.
    token_offset resume_at;
    std::vector<std::string> tokens;
};

/// What an owner sends to a companion next.
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

struct fetch_result
{
    fetch_status status = fetch_status::not_found;
    token_offset offset;
    std::vector<std::string> tokens;
    std::optional<request_outcome> outcome;
    holder_state state = holder_state::holding;
};

/// Accepted completions that this entry holds as owner or as companion, with the
/// tokens so far. Not safe for concurrent calls.
class request_journal
{
public:
    explicit request_journal(vm_id self, journal_options options = {});

    /// Owner: takes a request that this entry accepted.
    journal_result accept(time_point now, accepted_request request);
    /// Owner: the companion confirmed that it holds the request.
    journal_result confirm_held(time_point now, request_id const& id);
    /// Owner: the companion holds everything before `next`, and the outcome if `has_outcome`.
    journal_result confirm_progress(time_point now, request_id const& id, token_offset next,
                                 bool has_outcome = false);
    /// Owner: tokens and outcome that the companion lacks; no value when it lacks nothing.
    std::optional<progress_batch> pending_progress(request_id const& id) const;
    /// Owner: the companion took over, or is asked to.
    journal_result hand_over(time_point now, request_id const& id);
    /// Owner: the companion is gone; ids of unfinished requests that are held only here.
    std::vector<request_id> companion_lost(vm_id const& companion) const;

    /// Companion: holds a request for its owner.
    journal_result hold(time_point now, accepted_request request);
    /// Companion: progress from the owner. `superseded` tells an owner that it lost the request.
    journal_result progress(time_point now, request_id const& id, progress_batch const& batch);
    /// Companion: the owner is dead or has left; each request is returned once.
    std::vector<take_over> owner_lost(time_point now, vm_id const& owner);
    /// Companion: the owner handed over one request.
    std::optional<take_over> take(time_point now, request_id const& id);

    /// The working entry (owner, or companion after a take-over) forwarded tokens.
    journal_result append(time_point now, request_id const& id, token_offset offset,
                          std::vector<std::string> const& tokens);
    /// The working entry finished the request.
    journal_result finish(time_point now, request_id const& id, request_outcome outcome);

    /// Tokens from `offset` on, for the account that sent the request. Empty while this entry
    /// has not got as far as `offset`.
    fetch_result fetch(request_id const& id, account_id const& account, token_offset offset) const;

    std::optional<holder_state> state_of(request_id const& id) const;
    std::optional<token_offset> next_offset(request_id const& id) const;

    /// Drops finished requests after the retention and idle ones after max_idle.
    /// Returns the ids of unfinished requests that were dropped.
    std::vector<request_id> expire(time_point now);

    std::size_t size() const { return this->requests.size(); }
    std::size_t bytes() const { return this->stored_bytes; }
    /// Unfinished requests that this entry works on, as owner or after a take-over.
    std::size_t working() const;

private:
    struct held
    {
        accepted_request request;
        holder_state state = holder_state::storing;
        std::vector<std::string> tokens;
        std::optional<request_outcome> outcome;
        /// Owner: what the companion confirmed.
        token_offset companion_next;
        bool companion_done = false;
        /// Companion: the owner sent the outcome.
        bool done_by_owner = false;
        time_point changed{};
    };

    static bool is_working(held const& known);
    held* find(request_id const& id);
    journal_result insert(time_point now, accepted_request request, holder_state state);
    journal_result add_tokens(time_point now, held& known, token_offset offset,
                              std::vector<std::string> const& tokens);
    void set_outcome(time_point now, held& known, request_outcome outcome);
    static take_over start_take_over(time_point now, held& known);
    bool make_room(std::size_t bytes);
    void erase(std::map<request_id, held>::iterator position);

    vm_id self;
    journal_options options;
    std::map<request_id, held> requests;
    /// Bytes of bodies, tokens and outcomes.
    std::size_t stored_bytes = 0;
};

} // namespace lagoonladder::request

#endif
