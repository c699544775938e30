#ifndef LAGOONLADDER_DAEMON_TRAFFIC_CONNECTION_THREADS_HPP
#define LAGOONLADDER_DAEMON_TRAFFIC_CONNECTION_THREADS_HPP

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include <httplib.h>

namespace lagoonladder::daemon
{

/// Threads for tasks that block, one thread per task. Threads are started when
/// needed and kept.
class worker_threads
{
public:
    /// Tasks that run beyond `limit` see is_over_limit() on at most
    /// `reserve` further threads; still more tasks wait.
    worker_threads(std::size_t limit, std::size_t reserve);
    ~worker_threads();
    worker_threads(worker_threads const&) = delete;
    worker_threads& operator=(worker_threads const&) = delete;

    void run(std::function<void()> task);
    /// Waits for the tasks that were handed in.
    void stop();

    /// Whether the task of this thread exceeds the limit and is to be refused.
    static bool is_over_limit();

private:
    void work();

    std::size_t const limit;
    std::size_t const reserve;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::function<void()>> tasks;
    std::vector<std::thread> threads;
    std::size_t busy = 0;
    bool stopping = false;
};

/// Task queue of the HTTP server: one thread per open connection.
class connection_threads : public httplib::TaskQueue
{
public:
    explicit connection_threads(std::size_t max_connections);
    void enqueue(std::function<void()> task) override;
    void shutdown() override;

private:
    worker_threads workers;
};

} // namespace lagoonladder::daemon

#endif
