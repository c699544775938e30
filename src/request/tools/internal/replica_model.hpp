#ifndef LAGOONLADDER_REQUEST_TOOLS_REPLICA_MODEL_HPP
#define LAGOONLADDER_REQUEST_TOOLS_REPLICA_MODEL_HPP

#include <cstdint>
#include <deque>
#include <list>
#include <vector>

namespace lagoonladder::study
{

/// One request whose prompt consists of a shared prefix and a part of its own.
struct model_request
{
    std::uint64_t number = 0;
    std::uint64_t prefix = 0;
    double prefix_tokens = 1200;
    double own_tokens = 300;
    double output_tokens = 100;
    /// Times in seconds of simulated time.
    double arrived = 0;
    double deadline = 0;
    /// Negative until the first token.
    double first_token = -1;
    std::uint32_t attempts = 0;
    std::size_t entry = 0;
    double dispatched = 0;
};

/// A prefix entered or left the cache of a replica.
struct cache_message
{
    std::uint64_t prefix = 0;
    bool stored = true;
};

/// A model engine with continuous batching: an iteration takes longer with each running request,
/// the prefill of one request at a time slows decoding down, and the prefix cache evicts the least
/// recently used prefix.
class replica_model
{
public:
    static constexpr std::uint32_t slots = 16;

    void submit(model_request const& request);

    /// Advances by `step` seconds. Returns the requests that finished.
    std::vector<model_request> advance(double now, double step);

    /// Models the loss of the VM. Returns all unfinished requests.
    std::vector<model_request> stop();

    std::uint32_t running() const { return static_cast<std::uint32_t>(this->active.size()); }
    std::uint32_t waiting() const { return static_cast<std::uint32_t>(this->queue.size()); }
    /// Tokens of prefixes that were not cached.
    double recomputed_tokens() const { return this->missed_prefix_tokens; }

    /// Returns the changes of the prefix cache since the last call.
    std::vector<cache_message> take_cache_messages();

    /// Factor of all times: 1 is ordinary, 3 takes three times as long.
    double slowness = 1;

private:
    struct running_request
    {
        model_request request;
        double prefill_left = 0;
        double generated = 0;
    };

    void start_queued_requests();
    /// Marks the prefix as used most recently. Returns whether it was cached.
    bool use_prefix(std::uint64_t prefix);

    std::deque<model_request> queue;
    std::vector<running_request> active;
    std::list<std::uint64_t> cache;
    std::vector<cache_message> messages;
    double missed_prefix_tokens = 0;
};

} // namespace lagoonladder::study

#endif
