#include "batch.hpp"

#include <algorithm>

#include "token_text.hpp"

namespace lagoonladder::fakes
{

namespace
{

constexpr std::size_t max_ended_jobs = 1000;
constexpr auto rate_window = milliseconds(500);

bool has_ended(generation_job const& job)
{
    return job.cancelled || job.next_offset >= job.end_offset;
}

} // namespace

batch::batch(batch_options const& initial)
    : options(initial)
    , cache(initial.cache_entries, initial.cache_event_delay)
    , load(initial.load_lag)
    , rate_start(this->time.now())
{
    this->record_load();
    this->worker = std::thread([this] { this->run(); });
}

batch::~batch()
{
    {
        std::lock_guard<std::mutex> const lock(this->mutex);
        this->stopping = true;
        this->state_changed.notify_all();
    }
    this->worker.join();
}

void batch::submit(std::shared_ptr<generation_job> const& job)
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    job->next_offset = job->first_offset;
    ++this->counts.requests;
    this->jobs_by_id[job->id] = job;
    auto const position =
        std::find_if(this->waiting.begin(), this->waiting.end(),
                     [&](auto const& other) { return other->priority > job->priority; });
    this->waiting.insert(position, job);
    this->record_load();
    this->state_changed.notify_all();
}

void batch::cancel(std::shared_ptr<generation_job> const& job)
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    if (has_ended(*job))
        return;
    job->cancelled = true;
    ++this->counts.cancelled;
    job->state_changed.notify_all();
    this->state_changed.notify_all();
}

bool batch::cancel(std::string const& id)
{
    auto const job = this->find(id);
    if (job)
        this->cancel(job);
    return job != nullptr;
}

std::uint64_t batch::wait(generation_job& job, std::uint64_t offset, duration timeout)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    job.state_changed.wait_for(lock, timeout,
                               [&] { return job.next_offset > offset || has_ended(job); });
    return job.next_offset;
}

bool batch::is_cancelled(generation_job const& job)
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    return job.cancelled;
}

std::shared_ptr<generation_job> batch::find(std::string const& id)
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    auto const job = this->jobs_by_id.find(id);
    return job == this->jobs_by_id.end() ? nullptr : job->second;
}

load_sample batch::reported_load()
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    this->record_load();
    return this->load.at(this->time.now());
}

nlohmann::json batch::take_cache_events()
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    return this->cache.take_events(this->time.now());
}

batch_stats batch::stats()
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    return this->counts;
}

void batch::run()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    auto next_step = this->time.now();
    while (!this->stopping)
    {
        if (this->running.empty() && this->waiting.empty())
        {
            this->state_changed.wait(lock);
            next_step = this->time.now();
            continue;
        }
        next_step = std::max(next_step + this->step(), this->time.now());
        lock.unlock();
        std::this_thread::sleep_for(next_step - this->time.now());
        lock.lock();
    }
}

duration batch::step()
{
    this->admit();
    auto const other_streams = this->running.empty() ? 0.0 : double(this->running.size() - 1);
    auto const interval = from_seconds(to_seconds(this->options.token_interval) *
                                       (1 + this->options.growth_per_stream * other_streams));
    for (auto const& job : this->running)
    {
        if (has_ended(*job))
            continue;
        job->remaining_prefill -= interval;
        if (job->remaining_prefill > duration::zero())
            continue;
        job->token_credit += 1 / job->slow_factor;
        if (job->token_credit < 1)
            continue;
        job->token_credit -= 1;
        ++job->next_offset;
        ++this->counts.generated_tokens;
        job->state_changed.notify_all();
    }
    auto const ended = std::stable_partition(this->running.begin(), this->running.end(),
                                             [](auto const& job) { return !has_ended(*job); });
    for (auto job = ended; job != this->running.end(); ++job)
        this->keep_ended_job(*job);
    this->running.erase(ended, this->running.end());
    this->record_load();
    return interval;
}

void batch::admit()
{
    this->waiting.remove_if(
        [this](auto const& job)
        {
            if (has_ended(*job))
                this->keep_ended_job(job);
            return has_ended(*job);
        });
    while (this->running.size() < this->options.slots && !this->waiting.empty())
    {
        this->start(*this->waiting.front());
        this->running.push_back(this->waiting.front());
        this->waiting.pop_front();
    }
}

void batch::start(generation_job& job)
{
    auto const tokens = prompt_tokens(job.prompt);
    auto const cached_tokens = this->cache.use(this->time.now(), tokens);
    auto const reusable_tokens = std::min(job.kv_tokens, job.first_offset);
    // An imported KV cache covers the prompt too.
    auto const uncached_prompt_tokens = job.kv_tokens > 0 ? 0 : tokens.size() - cached_tokens;
    auto const prefill_tokens = uncached_prompt_tokens + (job.first_offset - reusable_tokens);
    this->counts.prompt_tokens += tokens.size();
    this->counts.cached_prompt_tokens += cached_tokens;
    if (job.first_offset > 0)
        this->counts.recomputed_tokens += prefill_tokens;
    job.remaining_prefill =
        this->options.prefill_per_token * static_cast<std::int64_t>(prefill_tokens);
}

void batch::keep_ended_job(std::shared_ptr<generation_job> const& job)
{
    job->state_changed.notify_all();
    this->ended_job_ids.push_back(job->id);
    if (this->ended_job_ids.size() <= max_ended_jobs)
        return;
    auto const oldest = this->jobs_by_id.find(this->ended_job_ids.front());
    if (oldest != this->jobs_by_id.end() && has_ended(*oldest->second))
        this->jobs_by_id.erase(oldest);
    this->ended_job_ids.pop_front();
}

void batch::record_load()
{
    auto const now = this->time.now();
    if (now - this->rate_start >= rate_window)
    {
        this->token_rate = double(this->counts.generated_tokens - this->tokens_at_rate_start) /
                           to_seconds(now - this->rate_start);
        this->tokens_at_rate_start = this->counts.generated_tokens;
        this->rate_start = now;
    }
    this->load.record(now, {static_cast<std::uint32_t>(this->running.size()),
                            static_cast<std::uint32_t>(this->waiting.size()), this->options.slots,
                            this->token_rate});
}

} // namespace lagoonladder::fakes
