#ifndef LAGOONLADDER_VERSION_ONCE_SIMULATION_HPP
#define LAGOONLADDER_VERSION_ONCE_SIMULATION_HPP

#include <functional>
#include <queue>
#include <set>

#include <lagoonladder/version.hpp>

namespace lagoonladder::version
{

/// Entries that propose at-most-once commands over a network that delays,
/// duplicates, reorders and loses, and callers who resend at several entries.
class once_simulation
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

    explicit once_simulation(std::uint64_t seed)
        : random(seed)
    {
    }

    outcome run(int callers)
    {
        for (int i = 0; i < callers; ++i)
            this->after(seconds(this->random.below(60)), [this] { this->send_attempts(); });
        for (int i = 1; i < 120; ++i)
            this->after(seconds(i), [this] { this->maintain(); });
        while (!this->events.empty())
        {
            auto const next = this->events.top();
            this->events.pop();
            this->now = next.when;
            next.act();
        }
        return this->result;
    }

private:
    struct scheduled
    {
        wall_time when;
        std::uint64_t order;
        std::function<void()> act;
        bool operator<(scheduled const& other) const
        {
            return std::tie(other.when, other.order) < std::tie(this->when, this->order);
        }
    };

    struct attempt
    {
        request::at_most_once_begin begin;
        wall_time arrived;
        bool given_up = false;
        bool sent = false;
        bool dead = false;
    };

    void after(duration delay, std::function<void()> act)
    {
        this->events.push({this->now + delay, ++this->sequence, std::move(act)});
    }

    duration delay() { return milliseconds(this->random.below(this->chance(0.05) ? 20'000 : 300)); }
    bool chance(double probability) { return this->random.unit() < probability; }

    void send_attempts()
    {
        request::at_most_once_key const key{account_id("a"), service_name("s"),
                                    idempotency_key(std::to_string(this->random.below(25)))};
        auto const copies = 1 + this->random.below(3);
        for (std::uint64_t i = 0; i < copies; ++i)
            this->after(this->delay(), [this, key] { this->arrive(key); });
    }

    void arrive(request::at_most_once_key const& key)
    {
        auto const one = std::make_shared<attempt>();
        // Clocks of entries differ by up to 200 ms; refusals last 1 s and longer.
        auto const stated = this->now + milliseconds(this->random.below(400)) - milliseconds(200);
        one->arrived = this->now;
        one->begin = {key, "d", attempt_id(std::to_string(++this->sequence)), stated,
                      stated + seconds(this->random.below(20))};
        if (this->chance(0.15))
            return this->refuse(one);
        this->begin(one);
        if (this->chance(0.2))
            this->after(this->delay(), [this, one] { this->begin(one); });
        if (this->chance(0.2))
            this->after(this->delay(), [this, one] { this->refuse(one); });
    }

    void begin(std::shared_ptr<attempt> const& one)
    {
        this->propose(one->begin, [this, one](request::at_most_once_reply const& reply)
                      { this->on_reply(*one, reply); });
    }

    void refuse(std::shared_ptr<attempt> const& one)
    {
        if (one->sent || one->dead)
            return;
        one->given_up = true;
        request::at_most_once_refuse const command{one->begin.key, "d", one->begin.attempt,
                                           milliseconds(1000 + this->random.below(4000))};
        this->propose(command, [this, one](request::at_most_once_reply const& reply)
                      { this->on_reply(*one, reply); });
    }

    void on_reply(attempt& one, request::at_most_once_reply const& reply)
    {
        if (one.dead)
            return;
        if (reply.verdict == request::at_most_once_verdict::answered)
        {
            ++this->result.answered;
            this->result.wrong_answers +=
                reply.answer->body == this->answers[one.begin.key] ? 0 : 1;
        }
        bool const runs = reply.verdict == request::at_most_once_verdict::granted && !one.given_up &&
                          !one.sent && !this->chance(0.1);
        if (runs)
            this->execute(one);
        else if (reply.verdict == request::at_most_once_verdict::granted)
            one.dead = true;
    }

    void execute(attempt& one)
    {
        auto const& key = one.begin.key;
        one.sent = true;
        one.dead = this->chance(0.2);
        ++this->result.executed;
        this->result.executed_twice += this->answers.contains(key) ? 1 : 0;
        auto const refused = this->refused_at.find(key);
        if (refused != this->refused_at.end() && one.arrived < refused->second)
            ++this->result.executed_after_refusal;
        this->answers[key] = one.begin.attempt.value();
        if (one.dead)
            return;
        auto const answer = request::stored_answer{200, "text/plain", one.begin.attempt.value()};
        request::at_most_once_finish finish{key, one.begin.attempt, answer};
        if (this->chance(0.1))
            finish.answer.reset();
        this->propose(finish, [](request::at_most_once_reply const&) {});
    }

    /// Proposes once or twice; each reply may be lost.
    void propose(command_body const& body,
                 std::function<void(request::at_most_once_reply const&)> const& on_reply)
    {
        for (int copies = this->chance(0.2) ? 2 : 1; copies > 0; --copies)
        {
            if (this->chance(0.05))
                continue;
            this->after(this->delay(), [this, body, on_reply] { this->commit(body, on_reply); });
        }
    }

    void commit(command_body const& body,
                std::function<void(request::at_most_once_reply const&)> const& on_reply)
    {
        auto const bytes = encode(command{this->now, body});
        auto const done = this->state.apply(++this->index, decode_command(bytes));
        auto const reply = std::get<request::at_most_once_reply>(decode_command_result(encode(done)));
        if (reply.verdict == request::at_most_once_verdict::refused)
            this->note_refusal(body);
        if (!this->chance(0.1))
            this->after(this->delay(), [reply, on_reply] { on_reply(reply); });
    }

    void note_refusal(command_body const& body)
    {
        auto const* begin = std::get_if<request::at_most_once_begin>(&body);
        auto const* refusal = std::get_if<request::at_most_once_refuse>(&body);
        if (begin == nullptr && refusal == nullptr)
            return;
        auto const& key = begin != nullptr ? begin->key : refusal->key;
        ++this->result.refused;
        this->result.refused_after_execution += this->answers.contains(key) ? 1 : 0;
        // A refused begin promises nothing about other attempts of the key.
        if (refusal != nullptr)
            this->refused_at[key] = this->now;
    }

    void maintain()
    {
        this->state.apply(++this->index, {this->now, expire_records{}});
        if (this->chance(0.3))
            this->state.restore(std::string(this->state.snapshot()));
    }

    seeded_random random;
    wall_time now{std::chrono::hours(24 * 20000)};
    std::uint64_t sequence = 0;
    std::uint64_t index = 0;
    std::priority_queue<scheduled> events;
    control_state state;
    std::map<request::at_most_once_key, std::string> answers;
    std::map<request::at_most_once_key, wall_time> refused_at;
    outcome result;
};

} // namespace lagoonladder::version

#endif
