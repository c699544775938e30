#include "log_thread.hpp"

#include <utility>

namespace lagoonladder::control
{

namespace
{

/// Writes that take at least this long are logged. During a write a voter sends no messages, so
/// that a leader whose write takes an election timeout is replaced.
constexpr duration slow_write_time = milliseconds(200);

} // namespace

log_thread::log_thread(std::shared_ptr<asio::io_context> io, telemetry const& sinks)
    : context(std::move(io))
    , events(sinks.events)
    , metrics(sinks.metrics)
    , time(sinks.time)
{
}

log_thread::~log_thread()
{
    this->worker.join();
}

void log_thread::run(std::function<void()> task, handler done)
{
    invariant(!this->busy, "two tasks use the log store at the same time");
    this->busy = true;
    asio::post(this->worker,
               [this, task = std::move(task), done = std::move(done)]
               {
                   auto const started = this->time.now();
                   std::exception_ptr problem;
                   try
                   {
                       task();
                   }
                   catch (...)
                   {
                       problem = std::current_exception();
                   }
                   asio::post(*this->context,
                              [this, done, problem, elapsed = this->time.now() - started]
                              {
                                  this->busy = false;
                                  this->record_duration(elapsed);
                                  done(problem);
                              });
               });
}

void log_thread::record_duration(duration elapsed)
{
    this->metrics.observe_seconds("log_write_seconds", {}, to_seconds(elapsed));
    if (elapsed < slow_write_time || !this->slow_log_limit.admit(this->time.now()))
        return;
    this->events.emit(severity::warning, "storage.slow_write",
                      {{"elapsed_ms", milliseconds_text(elapsed)}});
}

} // namespace lagoonladder::control
