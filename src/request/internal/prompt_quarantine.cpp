#include <lagoonladder/request/prompt_quarantine.hpp>

#include <algorithm>
#include <set>
#include <tuple>

namespace lagoonladder::request
{

namespace
{

/// Crashes at fewer engines than this may be due to one faulty engine.
constexpr std::size_t min_engines = 2;
/// Crashes one after another from which on a prompt is not sent to a further engine.
constexpr std::size_t min_crashes_to_suspect = 2;
/// The times of crashes that entries report differ by the delays of the reports. A prompt that is
/// repeated at once is sent right after the crash before.
constexpr duration time_tolerance = milliseconds(30);
/// Fraction of the answered parts that is forgotten when there are too many.
constexpr std::size_t forgotten_answers_divisor = 4;

/// Number of crashes of which each prompt was sent after the end of the one before. Expects them in
/// the order of their ends.
std::size_t sequential_crashes(std::vector<crash_evidence> const& crashes)
{
    std::size_t count = 0;
    time_point last_end{};
    for (auto const& [crash, position] : crashes)
    {
        bool const is_next = crash.sent_at + time_tolerance >= last_end &&
                             crash.ended_at > last_end + time_tolerance;
        if (count > 0 && !is_next)
            continue;
        last_end = crash.ended_at;
        ++count;
    }
    return count;
}

std::size_t engine_count(std::vector<crash_evidence> const& crashes)
{
    std::set<endpoint_id> engines;
    for (auto const& evidence : crashes)
        engines.insert(evidence.crash.engine);
    return engines.size();
}

std::size_t reporter_count(std::vector<crash_evidence> const& crashes)
{
    std::set<vm_id> reporters;
    for (auto const& evidence : crashes)
        reporters.insert(evidence.crash.reporter);
    return reporters.size();
}

bool is_same(engine_crash const& left, engine_crash const& right)
{
    return left.reporter == right.reporter && left.number == right.number;
}

void sort_by_end(std::vector<crash_evidence>& crashes)
{
    auto const key = [](crash_evidence const& item)
    { return std::tie(item.crash.ended_at, item.crash.reporter, item.crash.number); };
    std::sort(crashes.begin(), crashes.end(),
              [&](auto const& left, auto const& right) { return key(left) < key(right); });
}

} // namespace

prompt_quarantine::prompt_quarantine(prompt_quarantine_options initial)
    : options(initial)
{
}

prompt_parts prompt_quarantine::shared_parts(prompt_parts const& prompt) const
{
    if (prompt.empty())
        return {};
    auto const count = std::min(prompt.size() - 1, this->options.max_parts_per_prompt);
    return {prompt.begin(), prompt.begin() + static_cast<std::ptrdiff_t>(count)};
}

bool prompt_quarantine::has_recent_crash(time_point now, suspect const& state) const
{
    return !state.crashes.empty() &&
           now < state.crashes.back().crash.ended_at + this->options.crash_retention;
}

bool prompt_quarantine::is_quarantined(time_point now, std::uint64_t part) const
{
    auto const found = this->suspects.find(part);
    return found != this->suspects.end() && found->second.is_quarantined &&
           this->has_recent_crash(now, found->second);
}

bool prompt_quarantine::is_suspected(time_point now, prompt_parts const& prompt) const
{
    auto const parts = this->shared_parts(prompt);
    return std::any_of(parts.begin(), parts.end(),
                       [&](prompt_part const& part)
                       {
                           auto const found = this->suspects.find(part.hash);
                           return found != this->suspects.end() &&
                                  this->has_recent_crash(now, found->second) &&
                                  sequential_crashes(found->second.crashes) >=
                                      min_crashes_to_suspect;
                       });
}

std::optional<std::uint64_t> prompt_quarantine::find_quarantined(time_point now,
                                                                 prompt_parts const& prompt) const
{
    for (auto const& part : this->shared_parts(prompt))
    {
        if (this->is_quarantined(now, part.hash))
            return part.hash;
    }
    return std::nullopt;
}

bool prompt_quarantine::is_probe_due(time_point now, prompt_parts const& prompt,
                                     std::uint64_t part) const
{
    auto const parts = this->shared_parts(prompt);
    // The outcome would not show which of several quarantined parts caused it.
    bool const has_other_quarantined =
        std::any_of(parts.begin(), parts.end(),
                    [&](prompt_part const& other)
                    { return other.hash != part && this->is_quarantined(now, other.hash); });
    auto const& state = this->suspects.at(part);
    return !has_other_quarantined && now >= state.probed_until &&
           now >= state.crashes.back().crash.ended_at + this->options.probe_interval;
}

quarantine_verdict prompt_quarantine::begin_probe(time_point now, std::uint64_t part)
{
    this->suspects.at(part).probed_until = now + this->options.probe_interval;
    return quarantine_verdict::probe;
}

bool prompt_quarantine::is_excused(std::uint64_t part, engine_crash const& crash) const
{
    auto const found = this->answers.find(part);
    return found != this->answers.end() &&
           crash.ended_at < found->second + this->options.answer_retention;
}

std::vector<part_evidence> prompt_quarantine::evidence_of(engine_crash const& crash,
                                                          prompt_parts const& prompt) const
{
    std::vector<part_evidence> evidence;
    std::uint32_t position = 0;
    for (auto const& part : this->shared_parts(prompt))
    {
        if (!this->is_excused(part.hash, crash))
            evidence.push_back({part.hash, {{crash, position}}, std::nullopt});
        ++position;
    }
    return evidence;
}

std::vector<part_evidence> prompt_quarantine::record_answer(time_point now,
                                                            prompt_parts const& prompt)
{
    std::vector<part_evidence> evidence;
    for (auto const& part : this->shared_parts(prompt))
    {
        this->answers[part.hash] = now;
        auto const found = this->suspects.find(part.hash);
        if (found == this->suspects.end())
            continue;
        if (!found->second.crashes.empty())
            evidence.push_back({part.hash, {}, now});
        this->clear(part.hash, now);
    }
    if (!evidence.empty())
        this->update_verdicts();
    this->limit_answers(now);
    return evidence;
}

std::vector<std::uint64_t> prompt_quarantine::merge(time_point now,
                                                    std::vector<part_evidence> const& evidence)
{
    this->expire(now);
    std::set<std::uint64_t> quarantined_before;
    for (auto const& [part, state] : this->suspects)
    {
        if (state.is_quarantined)
            quarantined_before.insert(part);
    }
    for (auto const& item : evidence)
    {
        if (item.answered_at)
        {
            auto& answered_at = this->answers[item.part];
            answered_at = std::max(answered_at, *item.answered_at);
            this->clear(item.part, answered_at);
        }
        for (auto const& crash : item.crashes)
            this->add_crash(now, item.part, crash);
    }
    this->update_verdicts();
    this->limit_suspects();
    this->limit_answers(now);
    std::vector<std::uint64_t> quarantined;
    for (auto const& [part, state] : this->suspects)
    {
        if (state.is_quarantined && !quarantined_before.contains(part))
            quarantined.push_back(part);
    }
    return quarantined;
}

void prompt_quarantine::add_crash(time_point now, std::uint64_t part,
                                  crash_evidence const& evidence)
{
    auto const& crash = evidence.crash;
    if (now >= crash.ended_at + this->options.crash_retention)
        return;
    auto& crashes = this->suspects[part].crashes;
    // Others that suspect the part are told of the answer.
    if (this->is_excused(part, crash))
        return this->clear(part, this->answers.at(part));
    auto const known =
        std::find_if(crashes.begin(), crashes.end(),
                     [&](crash_evidence const& other) { return is_same(other.crash, crash); });
    if (known == crashes.end())
    {
        crashes.push_back(evidence);
    }
    else
    {
        // Delays make times later, so the earliest ones are the most precise.
        known->crash.sent_at = std::min(known->crash.sent_at, crash.sent_at);
        known->crash.ended_at = std::min(known->crash.ended_at, crash.ended_at);
    }
    sort_by_end(crashes);
    if (crashes.size() > this->options.max_crashes_per_part)
        crashes.erase(crashes.begin());
}

void prompt_quarantine::clear(std::uint64_t part, time_point answered_at)
{
    auto const found = this->suspects.find(part);
    if (found == this->suspects.end())
        return;
    auto& state = found->second;
    std::erase_if(state.crashes,
                  [&](crash_evidence const& item) { return this->is_excused(part, item.crash); });
    state.cleared_at = std::max(state.cleared_at.value_or(answered_at), answered_at);
    state.probed_until = {};
}

void prompt_quarantine::update_verdicts()
{
    std::vector<std::pair<std::uint32_t, std::uint64_t>> parts_by_position;
    for (auto& [part, state] : this->suspects)
    {
        state.is_quarantined = false;
        std::uint32_t last_position = 0;
        for (auto const& evidence : state.crashes)
            last_position = std::max(last_position, evidence.position);
        parts_by_position.emplace_back(last_position, part);
    }
    std::sort(parts_by_position.rbegin(), parts_by_position.rend());
    for (auto const& [position, part] : parts_by_position)
        this->suspects.at(part).is_quarantined =
            this->has_enough_crashes(this->unexplained_crashes(part));
}

std::vector<crash_evidence> prompt_quarantine::unexplained_crashes(std::uint64_t part) const
{
    auto crashes = this->suspects.at(part).crashes;
    for (auto const& suspected : this->suspects)
    {
        auto const& other = suspected.second;
        if (!other.is_quarantined || suspected.first == part)
            continue;
        auto const explains = [&](crash_evidence const& own)
        {
            return std::any_of(other.crashes.begin(), other.crashes.end(),
                               [&](crash_evidence const& item) {
                                   return is_same(item.crash, own.crash) &&
                                          item.position > own.position;
                               });
        };
        std::erase_if(crashes, explains);
    }
    return crashes;
}

bool prompt_quarantine::has_enough_crashes(std::vector<crash_evidence> const& crashes) const
{
    if (engine_count(crashes) < min_engines)
        return false;
    bool const has_one_reporter = reporter_count(crashes) == 1;
    return sequential_crashes(crashes) >= (has_one_reporter
                                               ? this->options.min_crashes_of_one_reporter
                                               : this->options.min_crashes);
}

std::vector<part_evidence> prompt_quarantine::take_evidence(time_point now, std::size_t max_crashes)
{
    this->expire(now);
    std::vector<std::uint64_t> parts;
    for (auto const& [part, state] : this->suspects)
        parts.push_back(part);
    std::sort(parts.begin(), parts.end());
    auto const next = std::upper_bound(parts.begin(), parts.end(), this->last_taken_part);
    std::rotate(parts.begin(), next, parts.end());
    std::vector<part_evidence> evidence;
    std::size_t size = 0;
    for (auto const part : parts)
    {
        auto const& state = this->suspects.at(part);
        // A part without crashes counts as one of them in size.
        size += std::max<std::size_t>(state.crashes.size(), 1);
        if (size > max_crashes)
            break;
        evidence.push_back({part, state.crashes, state.cleared_at});
        this->last_taken_part = part;
    }
    return evidence;
}

void prompt_quarantine::expire(time_point now)
{
    for (auto& [part, state] : this->suspects)
    {
        std::erase_if(state.crashes, [&](crash_evidence const& item)
                      { return now >= item.crash.ended_at + this->options.crash_retention; });
        if (state.cleared_at && now >= *state.cleared_at + this->options.answer_retention)
            state.cleared_at.reset();
    }
    std::erase_if(this->suspects, [](auto const& item)
                  { return item.second.crashes.empty() && !item.second.cleared_at; });
}

void prompt_quarantine::limit_suspects()
{
    // Quarantined parts are forgotten last, and of the others the one that crashed longest ago
    // first.
    auto const rank = [](auto const& item)
    {
        auto const& state = item.second;
        auto const latest =
            state.crashes.empty() ? time_point() : state.crashes.back().crash.ended_at;
        return std::tuple(state.is_quarantined, latest, item.first);
    };
    while (this->suspects.size() > this->options.max_suspected_parts)
        this->suspects.erase(std::min_element(this->suspects.begin(), this->suspects.end(),
                                              [&](auto const& left, auto const& right)
                                              { return rank(left) < rank(right); }));
}

void prompt_quarantine::limit_answers(time_point now)
{
    if (this->answers.size() <= this->options.max_answered_parts)
        return;
    std::erase_if(this->answers, [&](auto const& item)
                  { return now >= item.second + this->options.answer_retention; });
    if (this->answers.size() <= this->options.max_answered_parts)
        return;
    std::vector<time_point> times;
    for (auto const& [part, answered_at] : this->answers)
        times.push_back(answered_at);
    auto const limit =
        times.begin() + static_cast<std::ptrdiff_t>(times.size() / forgotten_answers_divisor);
    std::nth_element(times.begin(), limit, times.end());
    std::erase_if(this->answers, [&](auto const& item) { return item.second <= *limit; });
}

} // namespace lagoonladder::request
