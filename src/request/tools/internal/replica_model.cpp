#include <replica_model.hpp>

#include <algorithm>
#include <utility>

namespace lagoonladder::study
{

namespace
{

constexpr double prefill_tokens_per_second = 12000;
constexpr double iteration_base_seconds = 0.018;
constexpr double iteration_seconds_per_request = 0.0008;
/// Fraction of the decoding speed that is left during a prefill.
constexpr double decode_during_prefill = 0.6;
constexpr std::size_t cached_prefixes = 10;

} // namespace

void replica_model::submit(model_request const& request)
{
    this->queue.push_back(request);
}

std::vector<model_request> replica_model::advance(double now, double step)
{
    this->start_queued_requests();
    auto const work_seconds = step / this->slowness;
    auto const in_prefill =
        std::find_if(this->active.begin(), this->active.end(),
                     [](auto const& active_request) { return active_request.prefill_left > 0; });
    auto const has_prefill = in_prefill != this->active.end();
    auto const iteration_seconds =
        iteration_base_seconds +
        iteration_seconds_per_request * static_cast<double>(this->active.size());
    auto const tokens =
        work_seconds / iteration_seconds * (has_prefill ? decode_during_prefill : 1.0);
    std::vector<model_request> finished;
    for (auto& active_request : this->active)
    {
        if (active_request.prefill_left > 0)
            continue;
        active_request.generated += tokens;
        if (active_request.generated >= 1 && active_request.request.first_token < 0)
            active_request.request.first_token = now;
    }
    if (has_prefill)
        in_prefill->prefill_left -= prefill_tokens_per_second * work_seconds;
    std::erase_if(this->active,
                  [&](auto const& active_request)
                  {
                      auto const is_done =
                          active_request.generated >= active_request.request.output_tokens;
                      if (is_done)
                          finished.push_back(active_request.request);
                      return is_done;
                  });
    return finished;
}

std::vector<model_request> replica_model::stop()
{
    std::vector<model_request> unfinished(this->queue.begin(), this->queue.end());
    for (auto const& active_request : this->active)
        unfinished.push_back(active_request.request);
    this->queue.clear();
    this->active.clear();
    this->cache.clear();
    return unfinished;
}

std::vector<cache_message> replica_model::take_cache_messages()
{
    return std::exchange(this->messages, {});
}

void replica_model::start_queued_requests()
{
    while (!this->queue.empty() && this->active.size() < slots)
    {
        auto const request = this->queue.front();
        this->queue.pop_front();
        auto prefill = request.own_tokens;
        if (!this->use_prefix(request.prefix))
        {
            prefill += request.prefix_tokens;
            this->missed_prefix_tokens += request.prefix_tokens;
        }
        this->active.push_back({request, prefill, 0});
    }
}

bool replica_model::use_prefix(std::uint64_t prefix)
{
    auto const found = std::find(this->cache.begin(), this->cache.end(), prefix);
    auto const is_hit = found != this->cache.end();
    if (is_hit)
        this->cache.erase(found);
    this->cache.push_front(prefix);
    if (!is_hit)
        this->messages.push_back({prefix, true});
    if (this->cache.size() > cached_prefixes)
    {
        this->messages.push_back({this->cache.back(), false});
        this->cache.pop_back();
    }
    return is_hit;
}

} // namespace lagoonladder::study
