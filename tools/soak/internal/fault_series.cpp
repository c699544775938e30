#include "fault_series.hpp"

namespace lagoonladder::soak
{

namespace
{

/// A process that was asked to end is killed after this long, as the platform does.
constexpr duration grace_time = seconds(8);
constexpr std::size_t busy_threads = 3;

} // namespace

fault_series::fault_series(deployment& initial_entries, recorder& initial_history,
                           fault_target initial_target, std::vector<std::size_t> initial_slots,
                           std::uint64_t seed)
    : entries(initial_entries)
    , history_recorder(initial_history)
    , target(initial_target)
    , slots(std::move(initial_slots))
    , random(seed)
{
}

void fault_series::step(bool may_begin)
{
    auto const now = this->history_recorder.now();
    if (this->state == phase::terminating && !this->entries.is_running(this->victim()))
        this->go(phase::harmed, this->current.length);
    if (now < this->until)
        return;
    if (this->state == phase::terminating)
    {
        this->entries.kill(this->victim());
        this->go(phase::harmed, this->current.length);
    }
    else if (this->state == phase::harmed)
        this->end();
    else if (may_begin)
        this->begin();
}

bool fault_series::is_settled() const
{
    return this->state == phase::resting && this->history_recorder.now() >= this->settled_at;
}

void fault_series::begin()
{
    this->current = draw_fault(this->random, this->target, this->slots.size());
    this->go(phase::harmed, this->current.length);
    switch (this->current.kind)
    {
    case fault_kind::stop:
        this->entries.stop(this->victim());
        break;
    case fault_kind::terminate:
        this->entries.terminate(this->victim());
        this->go(phase::terminating, grace_time);
        break;
    case fault_kind::reload:
        this->entries.reload(this->victim());
        break;
    case fault_kind::fill_disk:
        this->entries.fill_disk(this->victim());
        break;
    case fault_kind::kill_core:
        this->entries.kill_core();
        break;
    case fault_kind::lose_disk:
        this->entries.kill(this->victim());
        this->entries.lose_disk(this->victim());
        break;
    default:
        this->entries.kill(this->victim());
        break;
    }
}

void fault_series::end()
{
    switch (this->current.kind)
    {
    case fault_kind::stop:
        this->entries.resume(this->victim());
        break;
    case fault_kind::reload:
        break;
    case fault_kind::fill_disk:
        this->entries.free_disk(this->victim());
        break;
    case fault_kind::replace:
        this->entries.replace(this->victim());
        this->entries.start(this->victim());
        break;
    default:
        this->start_victims();
        break;
    }
    auto const catch_up = this->target == fault_target::core ? catch_up_time : duration{};
    this->settled_at = this->history_recorder.now() + catch_up;
    this->go(phase::resting, catch_up + this->current.pause);
}

void fault_series::start_victims()
{
    if (this->current.kind != fault_kind::kill_core)
    {
        this->entries.start(this->victim());
        return;
    }
    for (auto const slot : this->slots)
        this->entries.start(slot);
}

void fault_series::go(phase next, duration length)
{
    this->state = next;
    this->until = this->history_recorder.now() + length;
}

busy_series::busy_series(recorder& initial_history, std::uint64_t seed)
    : history_recorder(initial_history)
    , random(seed)
{
}

busy_series::~busy_series()
{
    this->end();
}

void busy_series::step(bool may_begin)
{
    if (this->history_recorder.now() < this->until)
        return;
    bool const was_idle = this->is_idle;
    if (!was_idle)
        this->end();
    else if (may_begin)
        this->begin();
    else
        return;
    this->until = this->history_recorder.now() + draw_duration(this->random, milliseconds(500),
                                                               was_idle ? seconds(3) : seconds(8));
}

void busy_series::begin()
{
    this->history_recorder.add(
        fault_event{this->history_recorder.now(), entry_id{}, fault_kind::busy, false});
    this->is_idle = false;
    for (std::size_t i = 0; i < busy_threads; ++i)
        this->threads.emplace_back(
            [this]
            {
                while (!this->is_idle)
                    ;
            });
}

void busy_series::end()
{
    this->is_idle = true;
    for (auto& thread : this->threads)
        thread.join();
    if (!this->threads.empty())
        this->history_recorder.add(
            fault_event{this->history_recorder.now(), entry_id{}, fault_kind::idle, false});
    this->threads.clear();
}

} // namespace lagoonladder::soak
