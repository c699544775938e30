#include <routing_run.hpp>

#include <cmath>
#include <map>
#include <utility>

namespace lagoonladder::study
{

namespace
{

/// Times are in seconds of simulated time.
constexpr double step = 0.01;
constexpr double run_length = 180;
/// Arrivals end this long before the run, so that each request has an outcome.
constexpr double drain_time = 30;
constexpr std::size_t replica_count = 9;
constexpr std::size_t entry_count = 4;
constexpr std::uint64_t prefix_count = 40;
constexpr double time_limit = 10;
/// Time that a request needs after it was taken from the queue; its deadline in the queue is
/// earlier by this time.
constexpr double service_time = 4;
constexpr double report_interval = 1;
constexpr double notice_time = 80;
constexpr double reclaim_time = 90;
constexpr double replace_time = 140;
constexpr double slowdown_time = 30;
/// Requests in flight as a multiple of the slots of the replicas.
constexpr double overcommitment = 1.1;

/// One of this many cache events is lost on the way to an entry.
constexpr std::uint64_t cache_events_per_loss = 200;

/// Returns whether the moment is within the step that ends at `time`.
bool occurs_at(double time, double moment)
{
    return time - step < moment && moment <= time;
}

bool is_multiple(double time, double interval)
{
    auto const steps = static_cast<std::int64_t>(std::llround(time / step));
    return steps % static_cast<std::int64_t>(std::llround(interval / step)) == 0;
}

std::vector<std::uint64_t> blocks_of(std::uint64_t prefix)
{
    return {prefix + 1};
}

} // namespace

char const* to_string(compared_policy policy)
{
    switch (policy)
    {
    case compared_policy::balanced:
        return "balanced";
    case compared_policy::round_robin:
        return "round robin";
    case compared_policy::least_reported_load:
        return "least reported load";
    }
    return "invalid";
}

routing_run::routing_run(routing_scenario plan, compared_policy policy, std::uint64_t seed)
    : scenario(std::move(plan))
    , compared(policy)
    , random(seed)
{
    for (std::size_t i = 0; i < replica_count; ++i)
    {
        replica new_replica;
        new_replica.id = endpoint_id("e" + std::to_string(i));
        new_replica.zone = "z" + std::to_string(i % 3);
        this->replicas.push_back(std::move(new_replica));
    }
    for (std::size_t i = 0; i < entry_count; ++i)
        this->add_entry(i);
}

void routing_run::add_entry(std::size_t index)
{
    request::load_estimate_options load;
    load.report_lag = from_seconds(this->scenario.report_delay);
    request::admission_options admission;
    admission.initial_rate = 10;
    entry new_entry{nullptr,
                    request::load_estimate(load),
                    request::prefix_index(),
                    request::admission_queue(admission),
                    0,
                    "z" + std::to_string(index % 3)};
    if (this->compared == compared_policy::balanced)
        new_entry.policy = std::make_unique<request::balanced_route_policy>();
    else if (this->compared == compared_policy::round_robin)
        new_entry.policy = std::make_unique<request::round_robin_route_policy>();
    else
        new_entry.policy = std::make_unique<request::least_load_route_policy>();
    this->entries.push_back(std::move(new_entry));
}

routing_results routing_run::run()
{
    while (this->time < run_length)
    {
        this->time += step;
        if (this->scenario.has_slow_replica && occurs_at(this->time, slowdown_time))
            this->replicas[4].model.slowness = 3;
        if (this->scenario.is_zone_reclaimed)
            this->reclaim_zone();
        this->exchange_reports();
        this->generate_arrivals();
        for (std::size_t i = 0; i < this->entries.size(); ++i)
            this->dispatch(i);
        this->advance_replicas();
        if (is_multiple(this->time, 0.1))
            this->expire();
    }
    for (auto const& target : this->replicas)
        this->result.recomputed_tokens += target.model.recomputed_tokens();
    return std::move(this->result);
}

time_point routing_run::now() const
{
    return time_point{} + from_seconds(this->time);
}

void routing_run::generate_arrivals()
{
    auto const phase = std::fmod(this->time, 30.0);
    auto const rate = this->scenario.requests_per_second * (phase < 5 ? this->scenario.burst : 1.0);
    while (this->next_arrival <= this->time && this->time < run_length - drain_time)
    {
        model_request request;
        request.number = this->next_number++;
        // Squaring the random number makes some prefixes much more frequent than others.
        auto const drawn = this->random.unit();
        request.prefix = static_cast<std::uint64_t>(drawn * drawn * prefix_count);
        request.output_tokens = 40 + static_cast<double>(this->random.below(121));
        request.arrived = this->time;
        request.deadline = this->time + time_limit;
        request.entry = this->random.below(entry_count);
        ++this->result.offered;
        this->offer(request);
        this->next_arrival += -std::log(1 - this->random.unit()) / rate;
    }
}

void routing_run::offer(model_request const& request)
{
    request::queued_request waiting;
    waiting.request_id = request_id(std::to_string(request.number));
    waiting.account = account_id("a" + std::to_string(request.number % 5));
    waiting.deadline = time_point{} + from_seconds(request.deadline - service_time);
    auto& queue = this->entries[request.entry].queue;
    if (std::holds_alternative<request::queue_acceptance>(queue.offer(this->now(), waiting)))
        this->queued_requests.emplace(request.number, request);
    else
        ++this->result.refused;
}

void routing_run::dispatch(std::size_t entry_index)
{
    auto& from = this->entries[entry_index];
    while (from.in_flight < this->max_in_flight())
    {
        auto const taken = from.queue.take(this->now());
        if (!taken)
            return;
        auto const found = this->queued_requests.find(std::stoull(taken->request_id.value()));
        auto const request = found->second;
        this->queued_requests.erase(found);
        ++from.in_flight;
        this->send(entry_index, request);
    }
}

void routing_run::send(std::size_t entry_index, model_request request)
{
    auto& from = this->entries[entry_index];
    request::route_query query;
    query.data_centre = data_centre_id(from.data_centre);
    query.prefix_hash = stable_hash(std::to_string(request.prefix));
    auto const chosen = from.policy->choose(this->now(), this->candidates(from, request.prefix),
                                            query, this->random);
    invariant(chosen.has_value(), "some replica is always left");
    from.load.dispatched(this->now(), *chosen);
    from.prefixes.routed(this->now(), *chosen, blocks_of(request.prefix));
    ++request.attempts;
    request.dispatched = this->time;
    this->replicas[std::stoull(chosen->value().substr(1))].model.submit(request);
}

std::vector<request::route_candidate> routing_run::candidates(entry const& from,
                                                              std::uint64_t prefix) const
{
    std::vector<request::route_candidate> route_candidates;
    for (auto const& target : this->replicas)
    {
        if (target.is_stopped)
            continue;
        request::route_candidate candidate;
        candidate.endpoint_id = target.id;
        candidate.data_centre = data_centre_id(target.zone);
        candidate.zone = zone_id(target.zone);
        candidate.leaving = target.leaving;
        candidate.slots = replica_model::slots;
        candidate.load = this->compared == compared_policy::balanced
                             ? from.load.estimate(this->now(), target.id)
                             : target.reported_running + target.reported_waiting;
        candidate.prefix_match = from.prefixes.match(this->now(), target.id, blocks_of(prefix));
        route_candidates.push_back(std::move(candidate));
    }
    return route_candidates;
}

std::uint32_t routing_run::max_in_flight() const
{
    std::size_t usable = 0;
    for (auto const& target : this->replicas)
        usable += target.is_stopped || target.leaving ? 0 : 1;
    auto const slots = static_cast<double>(usable * replica_model::slots);
    return static_cast<std::uint32_t>(slots * overcommitment / entry_count);
}

void routing_run::advance_replicas()
{
    for (std::size_t i = 0; i < this->replicas.size(); ++i)
    {
        for (auto const& request : this->replicas[i].model.advance(this->time, step))
            this->finish(i, request);
    }
}

void routing_run::finish(std::size_t replica_index, model_request const& request)
{
    auto const& id = this->replicas[replica_index].id;
    auto& from = this->entries[request.entry];
    --from.in_flight;
    from.load.completed(this->now(), id);
    from.policy->record(this->now(), id,
                        {true, from_seconds(request.first_token - request.dispatched),
                         from_seconds(this->time - request.dispatched),
                         static_cast<std::uint64_t>(request.output_tokens)});
    ++(this->time <= request.deadline ? this->result.in_time : this->result.late);
    this->result.first_token.add(request.first_token - request.arrived);
}

void routing_run::exchange_reports()
{
    if (is_multiple(this->time, report_interval))
    {
        ++this->report_sequence;
        for (std::size_t i = 0; i < this->replicas.size(); ++i)
        {
            auto& target = this->replicas[i];
            if (!target.is_stopped)
                this->reports.push_back({this->time + this->scenario.report_delay, i,
                                         this->report_sequence, target.model.running(),
                                         target.model.waiting(),
                                         target.model.take_cache_messages()});
        }
    }
    while (!this->reports.empty() && this->reports.front().arrives <= this->time)
    {
        auto const arrived = this->reports.front();
        this->reports.pop_front();
        auto& target = this->replicas[arrived.replica];
        target.reported_running = arrived.running;
        target.reported_waiting = arrived.waiting;
        for (auto& to : this->entries)
            to.load.report(this->now(), target.id, arrived.sequence, arrived.running,
                           arrived.waiting);
        this->deliver_cache_messages(target, arrived.cache);
    }
}

void routing_run::deliver_cache_messages(replica& from, std::vector<cache_message> const& messages)
{
    for (auto const& message : messages)
    {
        ++from.cache_sequence;
        auto const change =
            message.stored ? request::cache_change::stored : request::cache_change::removed;
        for (auto& to : this->entries)
        {
            if (this->random.below(cache_events_per_loss) != 0)
                to.prefixes.apply(this->now(), from.id,
                                  {from.cache_sequence, change, blocks_of(message.prefix)});
        }
    }
}

void routing_run::reclaim_zone()
{
    for (std::size_t i = 0; i < this->replicas.size(); i += 3)
    {
        auto& target = this->replicas[i];
        if (occurs_at(this->time, notice_time))
            target.leaving = true;
        if (occurs_at(this->time, replace_time))
        {
            target.is_stopped = false;
            target.leaving = false;
        }
        if (!occurs_at(this->time, reclaim_time))
            continue;
        target.is_stopped = true;
        target.reported_running = 0;
        target.reported_waiting = 0;
        for (auto const& request : target.model.stop())
        {
            this->entries[request.entry].load.completed(this->now(), target.id);
            this->send(request.entry, request);
        }
        for (auto& from : this->entries)
        {
            from.load.remove(target.id);
            from.prefixes.remove(target.id);
        }
    }
}

void routing_run::expire()
{
    duration oldest{};
    for (auto& from : this->entries)
    {
        for (auto const& refusal : from.queue.expire(this->now()))
        {
            this->queued_requests.erase(std::stoull(refusal.request_id.value()));
            ++this->result.given_up;
        }
        oldest = std::max(oldest, from.queue.oldest_age(this->now()));
    }
    this->result.queue_age.add(to_seconds(oldest));
}

} // namespace lagoonladder::study
