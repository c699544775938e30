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

struct batch_options
{
    std::uint32_t slots = 16;
    /// Time between two tokens of a stream that runs alone.
    duration token_interval = milliseconds(10);
    /// Each further running stream adds this share of the token interval.
    double growth = 0.02;
    duration prefill_per_token = microseconds(50);
    std::size_t cache_entries = 1000;
    duration cache_event_delay = milliseconds(1500);
    duration load_lag = milliseconds(500);
};

/// One request in the batch.
struct generation_job
{
    std::string id;
    std::string prompt;
    /// Lower runs first when all slots are taken.
    int priority = 0;
    std::uint64_t first_offset = 0;
    std::uint64_t end_offset = 0;
    /// Generated tokens that an imported KV cache holds.
    std::uint64_t kv_tokens = 0;
    double slow_factor = 1;

    // Written by the batch under its mutex.
    std::uint64_t next_offset = 0;
    duration prefill_left{};
    double credit = 0;
    bool cancelled = false;
    std::condition_variable changed;
};

struct batch_stats
{
    std::uint64_t requests = 0;
    std::uint64_t generated_tokens = 0;
    std::uint64_t recomputed_tokens = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_prompt_tokens = 0;
    std::uint64_t cancelled = 0;
};

/// Continuous batching: one thread gives each running job a token per step.
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

    /// Waits until the token at `offset` exists, the job ended or the span has
    /// passed. Returns the first offset that does not exist yet.
    std::uint64_t wait(generation_job& job, std::uint64_t offset, duration span);
    bool is_cancelled(generation_job const& job);

    /// The job with the id, or nullptr; ended jobs are kept for a while.
    std::shared_ptr<generation_job> find(std::string const& id);

    load_sample reported_load();
    nlohmann::json take_cache_events();
    batch_stats stats();

private:
    void run();
    duration step();
    void admit();
    void start(generation_job& job);
    void remember(std::shared_ptr<generation_job> const& job);
    void record_load();

    batch_options options;
    system_clock time;
    std::mutex mutex;
    std::condition_variable changed;
    bool stopping = false;
    std::vector<std::shared_ptr<generation_job>> running;
    std::list<std::shared_ptr<generation_job>> waiting;
    std::map<std::string, std::shared_ptr<generation_job>> known;
    std::list<std::string> ended_order;
    prefix_cache cache;
    lagging_load load;
    batch_stats counts;
    std::uint64_t rate_tokens = 0;
    time_point rate_start;
    double token_rate = 0;
    std::thread worker;
};

} // namespace lagoonladder::fakes

#endif
