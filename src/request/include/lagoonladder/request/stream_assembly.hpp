#ifndef LAGOONLADDER_REQUEST_STREAM_ASSEMBLY_HPP
#define LAGOONLADDER_REQUEST_STREAM_ASSEMBLY_HPP

#include <cstdint>
#include <set>

#include <lagoonladder/base.hpp>

namespace lagoonladder::request
{

/// What to do with a token of an attempt.
enum class token_decision
{
    /// The token is the next one; send it to the caller.
    forward,
    /// The attempt was superseded, or the stream is finished.
    drop_superseded,
    /// A token with this offset was forwarded before.
    drop_duplicate,
    /// Tokens before this one are missing; the attempt has to be replaced.
    gap
};

/// How a new attempt gets the state of the stream so far.
enum class resume_method
{
    /// The endpoint prefills the prompt and the earlier tokens again.
    recompute,
    /// The endpoint imports the KV cache of the earlier attempt.
    kv_import
};

/// Joins the attempts of one streamed request by token offset, so that the caller receives each
/// token once. Only tokens of the latest attempt are forwarded.
class stream_assembly
{
public:
    /// `start` is larger than 0 when a request is resumed, such as after a take-over.
    explicit stream_assembly(token_offset start = token_offset(0));

    /// Begins an attempt, which supersedes all earlier ones. Returns the offset of the first token
    /// that the attempt has to deliver. For every attempt that resumes by recomputation,
    /// `prompt_tokens` and the tokens so far are counted as recomputed. Reusing an attempt id
    /// violates an invariant.
    token_offset begin_attempt(attempt_id const& attempt,
                               resume_method method = resume_method::recompute,
                               std::uint64_t prompt_tokens = 0);

    /// Decides on one token of an attempt.
    token_decision accept(attempt_id const& attempt, token_offset offset);

    /// Called when the attempt reported the end of the response after `length` tokens. `forward`
    /// means that the stream is finished, `gap` that tokens are missing.
    token_decision finish(attempt_id const& attempt, token_offset length);

    /// Abandons the current attempt: its further tokens are dropped.
    void abandon();

    /// Offset of the next token to forward.
    token_offset next_offset() const { return this->next; }
    attempt_id const& current_attempt() const { return this->current; }
    bool is_finished() const { return this->finished; }
    std::size_t attempt_count() const { return this->attempt_ids.size(); }

    /// Number of tokens that were computed more than once: recomputed by a resumption or delivered
    /// again.
    std::uint64_t recomputed_tokens() const { return this->recomputed; }

private:
    bool is_current(attempt_id const& attempt) const;

    token_offset next;
    attempt_id current;
    bool active = false;
    bool finished = false;
    std::set<attempt_id> attempt_ids;
    std::uint64_t recomputed = 0;
};

} // namespace lagoonladder::request

#endif
