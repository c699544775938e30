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

/// Times are in seconds of simulated time.
constexpr double step = 0.1;
constexpr double hour = 3600;
constexpr double night = 8 * hour;
constexpr std::size_t all_slots = 20;
constexpr std::size_t slots_after_reclaim = 8;
constexpr std::size_t max_fifo_length = 2000;

using request::queued_request;
using request::request_priority;

/// Interface of the compared queues.
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
        std::vector<request_id> ids;
        for (auto const& refusal : this->queue.expire(now))
            ids.push_back(refusal.request_id);
        return ids;
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
        if (this->waiting.size() >= max_fifo_length)
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
            this->late_ids.push_back(request.request_id);
        }
        return std::nullopt;
    }
    std::vector<request_id> expire(time_point) override
    {
        return std::exchange(this->late_ids, {});
    }
    duration oldest_age(time_point now) const override
    {
        return this->waiting.empty() ? duration::zero() : now - this->waiting.front().arrived;
    }
    std::optional<request::queue_trend> observe(time_point) override { return std::nullopt; }

private:
    std::deque<queued_request> waiting;
    std::vector<request_id> late_ids;
};

/// Requests of one account with exponentially distributed gaps. They arrive until `until`; the
/// deadline of each is `timeout` after its arrival.
struct request_source
{
    std::string account;
    request_priority priority = request_priority::interactive;
    double requests_per_second = 1;
    double until = night;
    double timeout = 20;
};

std::vector<request_source> const& request_sources()
{
    constexpr auto interactive = request_priority::interactive;
    constexpr auto draft = request_priority::draft;
    static std::vector<request_source> const all = {
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
        , next_arrival(request_sources().size(), 0.0)
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

    static std::string group_name(queued_request const& request)
    {
        auto const is_draft = request.priority == request_priority::draft;
        return request.account.value() + (is_draft ? " drafts" : " interactive");
    }

    void arrive()
    {
        for (std::size_t i = 0; i < request_sources().size(); ++i)
        {
            auto const& source = request_sources()[i];
            while (this->next_arrival[i] <= this->time && this->time < source.until)
            {
                this->next_arrival[i] += this->exponential(1 / source.requests_per_second);
                this->offer(source);
            }
        }
    }

    void offer(request_source const& source)
    {
        queued_request request;
        request.request_id = request_id(std::to_string(this->request_count++));
        request.account = account_id(source.account);
        request.priority = source.priority;
        request.deadline = this->now() + from_seconds(source.timeout);
        auto& group_results = this->result.groups[group_name(request)];
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
            auto& group_results = this->result.groups[group_name(*taken)];
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
            auto& group_results = this->result.groups[group_name(found->second)];
            ++group_results.given_up;
            group_results.time_to_refusal.add(to_seconds(this->now() - found->second.arrived));
            this->waiting.erase(found);
        }
        auto const age = to_seconds(this->queue->oldest_age(this->now()));
        this->result.max_age = std::max(this->result.max_age, age);
        auto const trend = this->queue->observe(this->now());
        if (!trend || !trend->rising)
            return;
        ++this->result.trend_reports;
        this->result.first_trend_report =
            this->result.first_trend_report.value_or(this->time / hour);
    }

    std::unique_ptr<night_queue> queue;
    seeded_random random;
    std::vector<double> next_arrival;
    std::vector<double> busy_until;
    std::map<request_id, queued_request> waiting;
    overnight_results result;
    double time = 0;
    std::uint64_t request_count = 0;
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
