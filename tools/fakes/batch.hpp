#ifndef LAGOONLADDER_FAKES_BATCH_HPP
#define LAGOONLADDER_FAKES_BATCH_HPP

#include <condition_variable>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "load_report.hpp"
#include "prefix_cache.hpp"

namespace lagoonladder::fakes
{

/// Simulated speed and limits of an engine.
struct batch_options
{
    std::uint32_t slots = 16;
    /// Time between two tokens of a stream that runs alone.
    duration token_interval = milliseconds(10);
    /// Fraction of the token interval that each further running stream adds to it.
    double growth_per_stream = 0.02;
    /// Time to process one token of a prompt that is not cached.
    duration prefill_per_token = microseconds(50);
    /// Maximum number of cached prompt prefixes.
    std::size_t cache_entries = 1000;
    /// Time after which a change of the cache is reported.
    duration cache_event_delay = milliseconds(1500);
    /// Age of the reported load.
    duration load_lag = milliseconds(500);
};

/// One request in the batch.
struct generation_job
{
    std::string id;
    std::string prompt;
    /// Jobs with a lower value start first when they have to wait for a slot.
    int priority = 0;
    std::uint64_t first_offset = 0;
    std::uint64_t end_offset = 0;
    /// Number of generated tokens that the imported KV cache covers.
    std::uint64_t kv_tokens = 0;
    /// Factor for the time between two tokens.
    double slow_factor = 1;

    // Written by the batch under its mutex.
    std::uint64_t next_offset = 0;
    duration remaining_prefill{};
    /// Generated fraction of the next token; grows by less than one per step when slow_factor > 1.
    double token_credit = 0;
    bool cancelled = false;
    std::condition_variable state_changed;
};

/// Counts since the start of the engine.
struct batch_stats
{
    std::uint64_t requests = 0;
    std::uint64_t generated_tokens = 0;
    std::uint64_t recomputed_tokens = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_prompt_tokens = 0;
    std::uint64_t cancelled = 0;
};

/// Simulates continuous batching: one thread generates a token for each running job per step.
class batch
{
public:
    explicit batch(batch_options const& initial);
    ~batch();
    batch(batch const&) = delete;
    batch& operator=(batch const&) = delete;

    void submit(std::shared_ptr<generation_job> const& job);
    /// Ends a job early; jobs that have ended are left as they are.
    void cancel(std::shared_ptr<generation_job> const& job);
    /// Returns false when no job has the id.
    bool cancel(std::string const& id);

    /// Waits until the token at `offset` is generated, the job ends or the timeout expires.
    /// Returns the offset of the next token to be generated.
    std::uint64_t wait(generation_job& job, std::uint64_t offset, duration timeout);
    bool is_cancelled(generation_job const& job);

    /// Returns the job with the id or nullptr; the last ended jobs can still be found.
    std::shared_ptr<generation_job> find(std::string const& id);

    load_sample reported_load();
    nlohmann::json take_cache_events();
    batch_stats stats();

private:
    void run();
    duration step();
    void admit();
    void start(generation_job& job);
    void keep_ended_job(std::shared_ptr<generation_job> const& job);
    void record_load();

    batch_options options;
    system_clock time;
    std::mutex mutex;
    std::condition_variable state_changed;
    bool stopping = false;
    std::vector<std::shared_ptr<generation_job>> running;
    std::list<std::shared_ptr<generation_job>> waiting;
    std::map<std::string, std::shared_ptr<generation_job>> jobs_by_id;
    std::list<std::string> ended_job_ids;
    prefix_cache cache;
    lagging_load load;
    batch_stats counts;
    std::uint64_t tokens_at_rate_start = 0;
    time_point rate_start;
    double token_rate = 0;
    std::thread worker;
};

} // namespace lagoonladder::fakes

#endif
