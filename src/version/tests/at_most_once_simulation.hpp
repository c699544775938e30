#ifndef LAGOONLADDER_VERSION_AT_MOST_ONCE_SIMULATION_HPP
#define LAGOONLADDER_VERSION_AT_MOST_ONCE_SIMULATION_HPP

#include <functional>
#include <queue>
#include <set>

#include <lagoonladder/version.hpp>

namespace lagoonladder::version
{

/// Simulates entries that propose the commands of at-most-once requests over a network that
/// delays, duplicates, reorders and loses messages, and callers who resend requests to
/// several entries.
class at_most_once_simulation
{
public:
    struct outcome
    {
        int executed = 0;
        int executed_twice = 0;
        int refused_after_execution = 0;
        int executed_after_refusal = 0;
        int wrong_answers = 0;
        int answered = 0;
        int refused = 0;
    };

    explicit at_most_once_simulation(std::uint64_t seed)
        : random(seed)
    {
    }

    outcome run(int caller_count)
    {
        for (int i = 0; i < caller_count; ++i)
            this->schedule_after(seconds(this->random.below(60)),
                                 [this] { this->send_attempts(); });
        for (int i = 1; i < 120; ++i)
            this->schedule_after(seconds(i), [this] { this->expire_and_restore(); });
        while (!this->events.empty())
        {
            auto const next = this->events.top();
            this->events.pop();
            this->now = next.time;
            next.action();
        }
        return this->result;
    }

private:
    struct scheduled_event
    {
        wall_time time;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(scheduled_event const& other) const
        {
            return std::tie(other.time, other.order) < std::tie(this->time, this->order);
        }
    };

    struct attempt
    {
        request::at_most_once_begin begin;
        wall_time arrived;
        bool is_withdrawn = false;
        bool is_executed = false;
        bool has_crashed = false;
    };

    void schedule_after(duration delay, std::function<void()> action)
    {
        this->events.push({this->now + delay, ++this->sequence, std::move(action)});
    }

    duration random_delay()
    {
        return milliseconds(this->random.below(this->chance(0.05) ? 20'000 : 300));
    }
    bool chance(double probability) { return this->random.unit() < probability; }

    void send_attempts()
    {
        request::at_most_once_key const key{
            account_id("a"), service_name("s"),
            idempotency_key(std::to_string(this->random.below(25)))};
        auto const copy_count = 1 + this->random.below(3);
        for (std::uint64_t i = 0; i < copy_count; ++i)
            this->schedule_after(this->random_delay(), [this, key] { this->arrive(key); });
    }

    void arrive(request::at_most_once_key const& key)
    {
        auto const pending = std::make_shared<attempt>();
        // The clocks of entries differ by up to 200 ms. Refusals last 1 s or longer.
        auto const local_time =
            this->now + milliseconds(this->random.below(400)) - milliseconds(200);
        pending->arrived = this->now;
        pending->begin = {key, "d", attempt_id(std::to_string(++this->sequence)), local_time,
                          local_time + seconds(this->random.below(20))};
        if (this->chance(0.15))
            return this->refuse(pending);
        this->begin(pending);
        if (this->chance(0.2))
            this->schedule_after(this->random_delay(), [this, pending] { this->begin(pending); });
        if (this->chance(0.2))
            this->schedule_after(this->random_delay(), [this, pending] { this->refuse(pending); });
    }

    void begin(std::shared_ptr<attempt> const& pending)
    {
        this->propose(pending->begin, [this, pending](request::at_most_once_reply const& reply)
                      { this->on_reply(*pending, reply); });
    }

    void refuse(std::shared_ptr<attempt> const& pending)
    {
        if (pending->is_executed || pending->has_crashed)
            return;
        pending->is_withdrawn = true;
        request::at_most_once_refuse const command{pending->begin.key, "d", pending->begin.attempt,
                                                   milliseconds(1000 + this->random.below(4000))};
        this->propose(command, [this, pending](request::at_most_once_reply const& reply)
                      { this->on_reply(*pending, reply); });
    }

    void on_reply(attempt& pending, request::at_most_once_reply const& reply)
    {
        if (pending.has_crashed)
            return;
        if (reply.verdict == request::at_most_once_verdict::answered)
        {
            ++this->result.answered;
            this->result.wrong_answers +=
                reply.answer->body == this->response_by_key[pending.begin.key] ? 0 : 1;
        }
        bool const should_execute = reply.verdict == request::at_most_once_verdict::granted &&
                                    !pending.is_withdrawn && !pending.is_executed &&
                                    !this->chance(0.1);
        if (should_execute)
            this->execute(pending);
        else if (reply.verdict == request::at_most_once_verdict::granted)
            pending.has_crashed = true;
    }

    void execute(attempt& pending)
    {
        auto const& key = pending.begin.key;
        pending.is_executed = true;
        pending.has_crashed = this->chance(0.2);
        ++this->result.executed;
        this->result.executed_twice += this->response_by_key.contains(key) ? 1 : 0;
        auto const refused = this->refused_at.find(key);
        if (refused != this->refused_at.end() && pending.arrived < refused->second)
            ++this->result.executed_after_refusal;
        this->response_by_key[key] = pending.begin.attempt.value();
        if (pending.has_crashed)
            return;
        auto const answer =
            request::stored_answer{200, "text/plain", pending.begin.attempt.value()};
        request::at_most_once_finish finish{key, pending.begin.attempt, answer};
        if (this->chance(0.1))
            finish.answer.reset();
        this->propose(finish, [](request::at_most_once_reply const&) {});
    }

    /// Proposes a command once or twice. Each proposal and each reply may be lost.
    void propose(command_body const& body,
                 std::function<void(request::at_most_once_reply const&)> const& on_reply)
    {
        for (int copy_count = this->chance(0.2) ? 2 : 1; copy_count > 0; --copy_count)
        {
            if (this->chance(0.05))
                continue;
            this->schedule_after(this->random_delay(),
                                 [this, body, on_reply] { this->commit(body, on_reply); });
        }
    }

    void commit(command_body const& body,
                std::function<void(request::at_most_once_reply const&)> const& on_reply)
    {
        auto const bytes = encode(command{this->now, body});
        auto const applied = this->state.apply(++this->index, decode_command(bytes));
        auto const reply =
            std::get<request::at_most_once_reply>(decode_command_result(encode(applied)));
        if (reply.verdict == request::at_most_once_verdict::refused)
            this->record_refusal(body);
        if (!this->chance(0.1))
            this->schedule_after(this->random_delay(), [reply, on_reply] { on_reply(reply); });
    }

    void record_refusal(command_body const& body)
    {
        auto const* begin = std::get_if<request::at_most_once_begin>(&body);
        auto const* refusal = std::get_if<request::at_most_once_refuse>(&body);
        if (begin == nullptr && refusal == nullptr)
            return;
        auto const& key = begin != nullptr ? begin->key : refusal->key;
        ++this->result.refused;
        this->result.refused_after_execution += this->response_by_key.contains(key) ? 1 : 0;
        // A refused begin says nothing about other attempts with the key.
        if (refusal != nullptr)
            this->refused_at[key] = this->now;
    }

    void expire_and_restore()
    {
        this->state.apply(++this->index, {this->now, expire_records{}});
        if (this->chance(0.3))
            this->state.restore(std::string(this->state.snapshot()));
    }

    seeded_random random;
    wall_time now{std::chrono::hours(24 * 20000)};
    std::uint64_t sequence = 0;
    std::uint64_t index = 0;
    std::priority_queue<scheduled_event> events;
    control_state state;
    std::map<request::at_most_once_key, std::string> response_by_key;
    std::map<request::at_most_once_key, wall_time> refused_at;
    outcome result;
};

} // namespace lagoonladder::version

#endif
