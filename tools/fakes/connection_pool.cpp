#include "connection_pool.hpp"

#include <thread>
#include <utility>

namespace lagoonladder::fakes
{

connection_pool::connection_pool(std::function<void()> initial)
    : on_connection(std::move(initial))
{
}

void connection_pool::enqueue(std::function<void()> connection)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    this->waiting.push_back(std::move(connection));
    if (this->idle >= this->waiting.size())
    {
        this->changed.notify_one();
        return;
    }
    ++this->threads;
    std::thread([this] { this->run(); }).detach();
}

void connection_pool::shutdown()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
    this->changed.wait(lock, [this] { return this->threads == 0; });
}

void connection_pool::run()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (true)
    {
        ++this->idle;
        this->changed.wait(lock, [this] { return this->stopping || !this->waiting.empty(); });
        --this->idle;
        if (this->waiting.empty())
            break;
        auto connection = std::move(this->waiting.front());
        this->waiting.pop_front();
        lock.unlock();
        this->on_connection();
        connection();
        lock.lock();
    }
    --this->threads;
    this->changed.notify_all();
}

} // namespace lagoonladder::fakes
