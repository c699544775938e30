#ifndef LAGOONLADDER_REQUEST_PROMPT_QUARANTINE_HPP
#define LAGOONLADDER_REQUEST_PROMPT_QUARANTINE_HPP

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include <lagoonladder/request/prompt_backlog.hpp>

namespace lagoonladder::request
{

/// End of an engine in the middle of a prompt, as one entry saw it.
struct engine_crash
{
    /// Entry that sent the prompt, and a number that distinguishes its crashes.
    vm_id reporter;
    std::uint64_t number = 0;
    endpoint_id engine;
    /// When the prompt was sent to the engine, and when the connection ended.
    time_point sent_at{};
    time_point ended_at{};
};

/// A crash as evidence on one part of its prompt.
struct crash_evidence
{
    engine_crash crash;
    /// Position of the part in the prompt, the first one being 0.
    std::uint32_t position = 0;
};

/// What is known about a part of prompts. Entries exchange it; merging it is commutative and
/// idempotent, so that all of them come to the same verdict in whatever order it arrives.
struct part_evidence
{
    /// Hash of the part.
    std::uint64_t part = 0;
    std::vector<crash_evidence> crashes;
    /// When an engine last answered a prompt with the part without harm.
    std::optional<time_point> answered_at;
};

enum class quarantine_verdict
{
    allowed,
    /// This call may try the quarantined part; no other one does meanwhile.
    probe,
    refused
};

struct prompt_quarantine_options
{
    /// Crashes one after another, at different engines, that put a part into quarantine.
    std::size_t min_crashes = 3;
    /// The same for crashes that only one entry saw: it may have been cut off from the engines.
    std::size_t min_crashes_of_one_reporter = 5;
    /// Time after the latest crash until a quarantined part may be tried by one call.
    duration probe_interval = seconds(30);
    /// Time after which a crash is forgotten.
    duration crash_retention = std::chrono::minutes(5);
    /// Time after an answer without harm in which crashes raise no suspicion of its parts.
    duration answer_retention = seconds(30);
    /// Limits of the memory that callers can make an entry use.
    std::size_t max_suspected_parts = 256;
    std::size_t max_answered_parts = 2'048;
    std::size_t max_crashes_per_part = 8;
    std::size_t max_parts_per_prompt = 16;
};

/// Finds parts of prompts that crash each engine that answers them (poison requests), and decides
/// which calls are refused because of them.
///
/// A part is quarantined when engines crashed on it one after another and no prompt with it was
/// answered without harm. Crashes that overlap in time count once, since one cause, such as a
/// reclaimed zone, may have ended several engines. Where several parts of the same prompts are
/// suspected, the last of them is quarantined, which concerns the fewest prompts; its crashes then
/// do not count for the others. The last part of a prompt belongs to one request only and is never
/// suspected. Not safe for concurrent calls.
class prompt_quarantine
{
public:
    explicit prompt_quarantine(prompt_quarantine_options initial = {});

    /// Decides on a call. `may_probe` returns whether this entry is the one that may try the part
    /// with a given hash.
    template <class MayProbe>
    quarantine_verdict check(time_point now, prompt_parts const& prompt, MayProbe may_probe)
    {
        auto const verdict = this->preview(now, prompt, may_probe);
        if (verdict != quarantine_verdict::probe)
            return verdict;
        return this->begin_probe(now, *this->find_quarantined(now, prompt));
    }

    /// Returns what check() would decide, without beginning a probe.
    template <class MayProbe>
    quarantine_verdict preview(time_point now, prompt_parts const& prompt, MayProbe may_probe) const
    {
        auto const part = this->find_quarantined(now, prompt);
        if (!part)
            return quarantine_verdict::allowed;
        bool const is_probe = this->is_probe_due(now, prompt, *part) && may_probe(*part);
        return is_probe ? quarantine_verdict::probe : quarantine_verdict::refused;
    }

    /// Whether a further attempt with the prompt is likely to crash one more engine: at least two
    /// engines crashed on one of its parts, one after another.
    bool is_suspected(time_point now, prompt_parts const& prompt) const;

    /// Returns the evidence of a crash that this entry saw, which is to be merged here and at other
    /// entries. Empty when no part of the prompt is suspected of it.
    std::vector<part_evidence> evidence_of(engine_crash const& crash,
                                           prompt_parts const& prompt) const;
    /// Records that an engine answered the prompt without harm. Returns the evidence for other
    /// entries when a part of the prompt was suspected until now.
    std::vector<part_evidence> record_answer(time_point now, prompt_parts const& prompt);
    /// Adds evidence. Returns the parts that are quarantined because of it.
    std::vector<std::uint64_t> merge(time_point now, std::vector<part_evidence> const& evidence);

    bool is_quarantined(time_point now, std::uint64_t part) const;
    /// Returns the evidence on some of the parts, with at most `max_crashes` crashes, in turn, so
    /// that entries get it that missed it or started later.
    std::vector<part_evidence> take_evidence(time_point now, std::size_t max_crashes);
    /// Number of parts that are suspected, were cleared of suspicion, or are quarantined.
    std::size_t suspected_parts() const { return this->suspects.size(); }
    std::size_t answered_parts() const { return this->answers.size(); }

private:
    struct suspect
    {
        /// In the order of their ends.
        std::vector<crash_evidence> crashes;
        bool is_quarantined = false;
        /// While a probe is in progress.
        time_point probed_until{};
        std::optional<time_point> cleared_at;
    };

    /// Parts of the prompt that may be shared with other prompts.
    prompt_parts shared_parts(prompt_parts const& prompt) const;
    /// Whether a crash on the part is recent enough to count.
    bool has_recent_crash(time_point now, suspect const& state) const;
    std::optional<std::uint64_t> find_quarantined(time_point now, prompt_parts const& prompt) const;
    bool is_probe_due(time_point now, prompt_parts const& prompt, std::uint64_t part) const;
    quarantine_verdict begin_probe(time_point now, std::uint64_t part);
    /// Whether the part was answered without harm so shortly before the crash, or after it, that
    /// the crash raises no suspicion of it.
    bool is_excused(std::uint64_t part, engine_crash const& crash) const;
    /// Adds a crash unless it is too old or excused by an answer.
    void add_crash(time_point now, std::uint64_t part, crash_evidence const& evidence);
    /// Forgets the crashes that the answer excuses, and keeps its time for other entries.
    void clear(std::uint64_t part, time_point answered_at);
    /// Decides anew which parts are quarantined, from the last parts of prompts to the first ones.
    void update_verdicts();
    /// Returns the crashes that no quarantined part further back in the same prompt explains.
    std::vector<crash_evidence> unexplained_crashes(std::uint64_t part) const;
    bool has_enough_crashes(std::vector<crash_evidence> const& crashes) const;
    void expire(time_point now);
    void limit_suspects();
    void limit_answers(time_point now);

    prompt_quarantine_options options;
    std::unordered_map<std::uint64_t, suspect> suspects;
    /// When a prompt with the part was last answered without harm.
    std::unordered_map<std::uint64_t, time_point> answers;
    /// Part after which take_evidence() continues.
    std::uint64_t last_taken_part = 0;
};

} // namespace lagoonladder::request

#endif
