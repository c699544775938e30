#include "connection_pool.hpp"

#include <thread>
#include <utility>

namespace lagoonladder::fakes
{

connection_pool::connection_pool(std::function<void()> connection_callback)
    : on_connection(std::move(connection_callback))
{
}

void connection_pool::enqueue(std::function<void()> connection)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    this->waiting_connections.push_back(std::move(connection));
    if (this->idle_threads >= this->waiting_connections.size())
    {
        this->state_changed.notify_one();
        return;
    }
    ++this->thread_count;
    std::thread([this] { this->run(); }).detach();
}

void connection_pool::shutdown()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    this->stopping = true;
    this->state_changed.notify_all();
    this->state_changed.wait(lock, [this] { return this->thread_count == 0; });
}

void connection_pool::run()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (true)
    {
        ++this->idle_threads;
        this->state_changed.wait(lock, [this]
                                 { return this->stopping || !this->waiting_connections.empty(); });
        --this->idle_threads;
        if (this->waiting_connections.empty())
            break;
        auto connection = std::move(this->waiting_connections.front());
        this->waiting_connections.pop_front();
        lock.unlock();
        this->on_connection();
        connection();
        lock.lock();
    }
    --this->thread_count;
    this->state_changed.notify_all();
}

} // namespace lagoonladder::fakes
