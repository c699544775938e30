#include <traffic_connection_threads.hpp>

namespace lagoonladder::daemon
{

namespace
{

// Threads that refuse connections beyond the limit, so that a caller is told
// at once and does not wait for a free connection.
constexpr std::size_t refusing_threads = 4;

thread_local bool over_limit = false;

} // namespace

worker_threads::worker_threads(std::size_t max_busy, std::size_t extra)
    : limit(max_busy)
    , reserve(extra)
{
}

worker_threads::~worker_threads()
{
    this->stop();
}

void worker_threads::run(std::function<void()> task)
{
    std::lock_guard const lock(this->mutex);
    this->tasks.push_back(std::move(task));
    bool const none_free = this->busy + this->tasks.size() > this->threads.size();
    if (none_free && this->threads.size() < this->limit + this->reserve)
        this->threads.emplace_back([this] { this->work(); });
    this->changed.notify_one();
}

void worker_threads::stop()
{
    {
        std::lock_guard const lock(this->mutex);
        this->stopping = true;
        this->changed.notify_all();
    }
    for (auto& thread : this->threads)
        thread.join();
    this->threads.clear();
}

bool worker_threads::is_over_limit()
{
    return over_limit;
}

void worker_threads::work()
{
    std::unique_lock lock(this->mutex);
    while (true)
    {
        this->changed.wait(lock, [this] { return this->stopping || !this->tasks.empty(); });
        if (this->tasks.empty())
            return;
        auto const task = std::move(this->tasks.front());
        this->tasks.pop_front();
        over_limit = ++this->busy > this->limit;
        lock.unlock();
        task();
        lock.lock();
        --this->busy;
    }
}

connection_threads::connection_threads(std::size_t max_connections)
    : workers(max_connections, refusing_threads)
{
}

void connection_threads::enqueue(std::function<void()> task)
{
    this->workers.run(std::move(task));
}

void connection_threads::shutdown()
{
    this->workers.stop();
}

} // namespace lagoonladder::daemon
