#include <algorithm>
#include <array>
#include <csignal>

#include "fault_series.hpp"
#include "stand_ins.hpp"

namespace lagoonladder::soak
{

namespace
{

constexpr auto step_interval = milliseconds(5);
constexpr duration longest_start = seconds(40);
constexpr duration longest_settling = seconds(30);
constexpr duration longest_wait_for_trigger = seconds(3);
/// Calls go on after the final state was read back, until entries are in touch again.
constexpr duration time_after_recovery = seconds(8);
constexpr std::size_t replicas_per_service = 2;
constexpr std::size_t readers = 2;
constexpr std::size_t callers_per_entry = 2;
constexpr std::size_t other_series = 2;

std::vector<std::string> const services = {"wuno96b", "huvo11a"};

/// Thrown inside a run to end it early.
struct interruption
{
};

/// Threads that end when the group is destroyed.
class worker_group
{
public:
    worker_group() = default;
    ~worker_group() { this->finish(); }
    worker_group(worker_group const&) = delete;
    worker_group& operator=(worker_group const&) = delete;

    void add(std::function<void(stop_flag const&)> const& work)
    {
        this->threads.emplace_back([this, work] { work(this->stop); });
    }

    void finish()
    {
        this->stop = true;
        for (auto& thread : this->threads)
            thread.join();
        this->threads.clear();
    }

private:
    stop_flag stop = false;
    std::vector<std::thread> threads;
};

class soak_run
{
public:
    soak_run(run_options const& initial_options, std::function<bool()> const& initial_interrupted)
        : options(initial_options)
        , interrupted(initial_interrupted)
        , random(initial_options.seed)
        , history_recorder(initial_options.history_file)
        , entries(initial_options, this->history_recorder, this->random)
        , platform(this->entries.address(stand_in_group, platform_number))
        , source(this->history_recorder, this->entries.machines(), services, this->random())
    {
    }

    history run()
    {
        this->add_series();
        this->start_replicas();
        this->entries.found();
        this->source.start();
        this->wait_until_ready();
        this->start_clients();
        this->play_faults();
        this->play_final_fault();
        this->workers.finish();
        this->source.finish();
        return this->history_recorder.take();
    }

private:
    void add_series()
    {
        std::vector<std::size_t> core;
        for (std::size_t slot = 0; slot < this->entries.core_size(); ++slot)
            core.push_back(slot);
        this->core_series = std::make_unique<fault_series>(
            this->entries, this->history_recorder, fault_target::core, core, this->random());
        for (std::size_t i = 0; i < other_series; ++i)
        {
            std::vector<std::size_t> slots;
            for (auto slot = this->entries.core_size() + i; slot < this->entries.size();
                 slot += other_series)
                slots.push_back(slot);
            if (!slots.empty())
                this->others.push_back(
                    std::make_unique<fault_series>(this->entries, this->history_recorder,
                                                   fault_target::other, slots, this->random()));
        }
        this->busy = std::make_unique<busy_series>(this->history_recorder, this->random());
    }

    void start_replicas()
    {
        unsigned number = 0;
        for (auto const& service : services)
            for (std::size_t i = 0; i < replicas_per_service; ++i)
            {
                ++number;
                this->replicas.push_back(std::make_unique<replica>(
                    this->history_recorder, this->entries.machines(),
                    "replica-" + std::to_string(number), service,
                    this->entries.address(stand_in_group, number), this->random()));
            }
    }

    void step(duration length)
    {
        if (this->interrupted())
            throw interruption{};
        this->entries.restart_exited();
        std::this_thread::sleep_for(length);
    }

    /// Returns false when `condition` was not true within `limit`.
    bool wait_for(std::function<bool()> const& condition, duration limit)
    {
        auto const end = this->now() + limit;
        while (!condition())
        {
            if (this->now() >= end)
                return false;
            this->step(step_interval);
        }
        return true;
    }

    bool is_ready(std::size_t slot) const
    {
        httplib::Client client(this->entries.machines().at(slot).ip, readiness_port);
        client.set_connection_timeout(milliseconds(500));
        client.set_read_timeout(milliseconds(500));
        auto const answer = client.Get("/ready");
        return answer && answer->status == 200;
    }

    void wait_until_ready()
    {
        auto const are_ready = [this]
        {
            for (std::size_t slot = 0; slot < this->entries.size(); ++slot)
                if (!this->is_ready(slot))
                    return false;
            return this->source.acknowledgements > 0;
        };
        if (!this->wait_for(are_ready, longest_start))
            throw input_error("the entries are not ready after 40 s");
    }

    void start_clients()
    {
        for (std::size_t i = 0; i < readers; ++i)
            this->workers.add(
                [this, seed = this->random()](stop_flag const& stop) {
                    run_reader(this->history_recorder, this->source, this->entries.machines(), seed,
                               stop);
                });
        for (std::size_t i = 0; i < callers_per_entry * this->entries.size(); ++i)
            this->workers.add(
                [this, seed = this->random(), slot = i / callers_per_entry](stop_flag const& stop) {
                    run_caller(this->history_recorder, this->source, this->entries.machines(), slot,
                               seed, stop);
                });
    }

    void step_series(bool may_begin)
    {
        this->core_series->step(may_begin);
        for (auto const& series : this->others)
            series->step(may_begin);
        this->busy->step(may_begin);
    }

    void play_faults()
    {
        auto const end = this->now() + this->options.length;
        while (this->now() < end)
        {
            this->step_series(true);
            this->step(step_interval);
        }
        // The final fault takes a disk: until then no other entry with a disk may be lost.
        auto const is_settled = [this]
        {
            this->step_series(false);
            return this->core_series->is_settled() &&
                   std::all_of(this->others.begin(), this->others.end(),
                               [](auto const& series) { return series->is_settled(); });
        };
        this->wait_for(is_settled, longest_settling);
    }

    /// Waits until a change was sent or acknowledged, and some milliseconds more.
    void wait_for_trigger()
    {
        bool const is_acknowledged = draw_number(this->random, 0, 1) == 1;
        auto const& count = is_acknowledged ? this->source.acknowledgements : this->source.attempts;
        // Most often within the time that an entry of the log takes to reach a quorum of disks.
        std::array<duration, 4> const longest = {duration{}, milliseconds(3), milliseconds(10),
                                                 milliseconds(60)};
        auto const delay =
            draw_duration(this->random, duration{}, longest[draw_number(this->random, 0, 3)]);
        auto const before = count.load();
        auto const end = this->now() + longest_wait_for_trigger;
        while (count == before && this->now() < end)
            std::this_thread::sleep_for(microseconds(100));
        std::this_thread::sleep_for(delay);
    }

    void play_final_fault()
    {
        auto const lost_disk = draw_number(this->random, 0, this->entries.core_size() - 1);
        this->wait_for_trigger();
        final_event last;
        last.killed = this->entries.kill_all();
        this->source.request_stop();
        this->entries.lose_disk(lost_disk);
        this->restart_all(last);
        this->history_recorder.add(last);
        this->read_back(last);
    }

    void restart_all(final_event& last)
    {
        std::vector<std::pair<run_time, std::size_t>> starts;
        for (std::size_t slot = 0; slot < this->entries.size(); ++slot)
            starts.emplace_back(last.killed + draw_duration(this->random, seconds(1), seconds(2)),
                                slot);
        std::sort(starts.begin(), starts.end());
        for (auto const& [at, slot] : starts)
        {
            this->wait_for([&, start = at] { return this->now() >= start; }, seconds(3));
            this->entries.start(slot);
            last.entries.push_back(this->entries.machines().at(slot).id);
        }
        last.back = this->now();
    }

    void read_back(final_event const& last)
    {
        std::atomic<std::size_t> answered = 0;
        worker_group reading;
        for (std::size_t slot = 0; slot < this->entries.size(); ++slot)
            reading.add(
                [&, slot](stop_flag const& stop)
                {
                    bool was_answered = false;
                    while (!stop)
                    {
                        auto const target = this->entries.machines().at(slot);
                        auto const read =
                            read_configuration(this->history_recorder, this->source, target);
                        answered += read.status == 200 && !was_answered ? 1 : 0;
                        was_answered = was_answered || read.status == 200;
                        std::this_thread::sleep_for(milliseconds(100));
                    }
                });
        auto const limit = last.back + check_bounds{}.recovery + seconds(1) - this->now();
        this->wait_for([&] { return answered == this->entries.size(); }, limit);
        this->wait_for([] { return false; }, time_after_recovery);
    }

    run_time now() const { return this->history_recorder.now(); }

    run_options const& options;
    std::function<bool()> const& interrupted;
    std::mt19937_64 random;
    recorder history_recorder;
    deployment entries;
    platform_interface platform;
    std::vector<std::unique_ptr<replica>> replicas;
    configuration_operator source;
    std::unique_ptr<fault_series> core_series;
    std::vector<std::unique_ptr<fault_series>> others;
    std::unique_ptr<busy_series> busy;
    worker_group workers;
};

} // namespace

std::optional<history> play(run_options const& options, std::function<bool()> const& interrupted)
{
    try
    {
        return soak_run(options, interrupted).run();
    }
    catch (interruption const&)
    {
        return std::nullopt;
    }
}

} // namespace lagoonladder::soak
