#include <replica_model.hpp>

#include <algorithm>
#include <utility>

namespace lagoonladder::study
{

namespace
{

constexpr double prefill_tokens_per_second = 12000;
constexpr double iteration_base = 0.018;
constexpr double iteration_per_request = 0.0008;
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
    this->start_waiting();
    auto const speed = step / this->slowness;
    auto const in_prefill = std::find_if(this->active.begin(), this->active.end(),
                                         [](auto const& one) { return one.prefill_left > 0; });
    auto const has_prefill = in_prefill != this->active.end();
    auto const iteration =
        iteration_base + iteration_per_request * static_cast<double>(this->active.size());
    auto const tokens = speed / iteration * (has_prefill ? decode_during_prefill : 1.0);
    std::vector<model_request> finished;
    for (auto& one : this->active)
    {
        if (one.prefill_left > 0)
            continue;
        one.generated += tokens;
        if (one.generated >= 1 && one.request.first_token < 0)
            one.request.first_token = now;
    }
    if (has_prefill)
        in_prefill->prefill_left -= prefill_tokens_per_second * speed;
    std::erase_if(this->active,
                  [&](auto const& one)
                  {
                      auto const is_done = one.generated >= one.request.output_tokens;
                      if (is_done)
                          finished.push_back(one.request);
                      return is_done;
                  });
    return finished;
}

std::vector<model_request> replica_model::stop()
{
    std::vector<model_request> out(this->queue.begin(), this->queue.end());
    for (auto const& one : this->active)
        out.push_back(one.request);
    this->queue.clear();
    this->active.clear();
    this->cache.clear();
    return out;
}

std::vector<cache_message> replica_model::take_cache_messages()
{
    return std::exchange(this->messages, {});
}

void replica_model::start_waiting()
{
    while (!this->queue.empty() && this->active.size() < slots)
    {
        auto const request = this->queue.front();
        this->queue.pop_front();
        auto prefill = request.own_tokens;
        if (!this->use_prefix(request.prefix))
        {
            prefill += request.prefix_tokens;
            this->prefix_misses += request.prefix_tokens;
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
