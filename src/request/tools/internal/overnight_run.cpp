#include <overnight_run.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <utility>
#include <vector>

namespace lagoonladder::study
{

namespace
{

constexpr double step = 0.1;
constexpr double hour = 3600;
constexpr double night = 8 * hour;
constexpr std::size_t all_slots = 20;
constexpr std::size_t slots_after_reclaim = 8;
constexpr std::size_t max_length = 2000;

using request::queued_request;
using request::request_priority;

/// Interface of both queues.
class night_queue
{
public:
    virtual ~night_queue() = default;
    virtual bool offer(time_point now, queued_request const& request) = 0;
    virtual std::optional<queued_request> take(time_point now) = 0;
    /// Returns the ids of requests that the queue has given up.
    virtual std::vector<request_id> expire(time_point now) = 0;
    virtual duration oldest_age(time_point now) const = 0;
    virtual std::optional<request::queue_trend> observe(time_point now) = 0;
};

class admission_night_queue : public night_queue
{
public:
    bool offer(time_point now, queued_request const& request) override
    {
        return std::holds_alternative<request::queue_acceptance>(this->queue.offer(now, request));
    }
    std::optional<queued_request> take(time_point now) override { return this->queue.take(now); }
    std::vector<request_id> expire(time_point now) override
    {
        std::vector<request_id> out;
        for (auto const& refusal : this->queue.expire(now))
            out.push_back(refusal.request_id);
        return out;
    }
    duration oldest_age(time_point now) const override { return this->queue.oldest_age(now); }
    std::optional<request::queue_trend> observe(time_point now) override
    {
        return this->queue.observe(now);
    }

private:
    request::admission_queue queue;
};

class fifo_night_queue : public night_queue
{
public:
    bool offer(time_point now, queued_request const& request) override
    {
        if (this->waiting.size() >= max_length)
            return false;
        this->waiting.push_back(request);
        this->waiting.back().arrived = now;
        return true;
    }
    std::optional<queued_request> take(time_point now) override
    {
        while (!this->waiting.empty())
        {
            auto request = std::move(this->waiting.front());
            this->waiting.pop_front();
            if (request.deadline > now)
                return request;
            this->late.push_back(request.request_id);
        }
        return std::nullopt;
    }
    std::vector<request_id> expire(time_point) override { return std::exchange(this->late, {}); }
    duration oldest_age(time_point now) const override
    {
        return this->waiting.empty() ? duration::zero() : now - this->waiting.front().arrived;
    }
    std::optional<request::queue_trend> observe(time_point) override { return std::nullopt; }

private:
    std::deque<queued_request> waiting;
    std::vector<request_id> late;
};

struct source
{
    std::string account;
    request_priority priority = request_priority::interactive;
    double per_second = 1;
    double until = night;
    double timeout = 20;
};

std::vector<source> const& sources()
{
    constexpr auto interactive = request_priority::interactive;
    constexpr auto draft = request_priority::draft;
    static std::vector<source> const all = {
        {"large 1", draft, 3, 4 * hour, 6 * hour}, {"large 2", draft, 3, 4 * hour, 6 * hour},
        {"large 1", interactive, 6, night, 20},    {"large 2", interactive, 4, night, 20},
        {"small 1", interactive, 0.5, night, 20},  {"small 2", interactive, 0.5, night, 20},
        {"small 3", interactive, 0.5, night, 20}};
    return all;
}

class overnight_model
{
public:
    overnight_model(std::unique_ptr<night_queue> compared, std::uint64_t seed)
        : queue(std::move(compared))
        , random(seed)
        , next_arrival(sources().size(), 0.0)
    {
    }

    overnight_results run()
    {
        for (; this->time < night; this->time += step)
        {
            this->arrive();
            std::erase_if(this->busy_until, [&](double until) { return until <= this->time; });
            this->dispatch();
            if (std::fmod(this->time, 1.0) < step / 2)
                this->observe();
        }
        return std::move(this->result);
    }

private:
    time_point now() const { return time_point{} + from_seconds(this->time); }

    double exponential(double mean) { return -std::log(1 - this->random.unit()) * mean; }

    static std::string group(queued_request const& request)
    {
        auto const is_draft = request.priority == request_priority::draft;
        return request.account.value() + (is_draft ? " drafts" : " interactive");
    }

    void arrive()
    {
        for (std::size_t i = 0; i < sources().size(); ++i)
        {
            auto const& from = sources()[i];
            while (this->next_arrival[i] <= this->time && this->time < from.until)
            {
                this->next_arrival[i] += this->exponential(1 / from.per_second);
                this->offer(from);
            }
        }
    }

    void offer(source const& from)
    {
        queued_request request;
        request.request_id = request_id(std::to_string(this->count++));
        request.account = account_id(from.account);
        request.priority = from.priority;
        request.deadline = this->now() + from_seconds(from.timeout);
        auto& group_results = this->result.groups[group(request)];
        ++group_results.offered;
        if (!this->queue->offer(this->now(), request))
        {
            ++group_results.refused;
            return;
        }
        request.arrived = this->now();
        this->waiting.emplace(request.request_id, request);
    }

    void dispatch()
    {
        auto const is_reclaimed = this->time >= 2 * hour && this->time < 5 * hour;
        while (this->busy_until.size() < (is_reclaimed ? slots_after_reclaim : all_slots))
        {
            auto const taken = this->queue->take(this->now());
            if (!taken)
                return;
            auto& group_results = this->result.groups[group(*taken)];
            ++group_results.taken;
            group_results.wait.add(to_seconds(this->now() - taken->arrived));
            this->waiting.erase(taken->request_id);
            this->busy_until.push_back(this->time + this->exponential(1));
        }
    }

    void observe()
    {
        for (auto const& id : this->queue->expire(this->now()))
        {
            auto const found = this->waiting.find(id);
            auto& group_results = this->result.groups[group(found->second)];
            ++group_results.given_up;
            group_results.answer_time.add(to_seconds(this->now() - found->second.arrived));
            this->waiting.erase(found);
        }
        auto const age = to_seconds(this->queue->oldest_age(this->now()));
        this->result.max_age = std::max(this->result.max_age, age);
        auto const trend = this->queue->observe(this->now());
        if (!trend || !trend->rising)
            return;
        ++this->result.trends;
        this->result.first_trend = this->result.first_trend.value_or(this->time / hour);
    }

    std::unique_ptr<night_queue> queue;
    seeded_random random;
    std::vector<double> next_arrival;
    std::vector<double> busy_until;
    std::map<request_id, queued_request> waiting;
    overnight_results result;
    double time = 0;
    std::uint64_t count = 0;
};

} // namespace

char const* to_string(compared_queue queue)
{
    return queue == compared_queue::admission ? "admission queue" : "first in, first out";
}

overnight_results run_overnight(compared_queue kind, std::uint64_t seed)
{
    std::unique_ptr<night_queue> queue;
    if (kind == compared_queue::admission)
        queue = std::make_unique<admission_night_queue>();
    else
        queue = std::make_unique<fifo_night_queue>();
    return overnight_model(std::move(queue), seed).run();
}

} // namespace lagoonladder::study
