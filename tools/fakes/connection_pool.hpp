#ifndef LAGOONLADDER_FAKES_CONNECTION_POOL_HPP
#define LAGOONLADDER_FAKES_CONNECTION_POOL_HPP

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

#include <httplib.h>

namespace lagoonladder::fakes
{

/// Handles each connection on its own thread and reuses idle threads, so that new connections
/// never wait for long streams to end.
class connection_pool : public httplib::TaskQueue
{
public:
    /// `on_connection` is called on the connection's thread before its first request.
    explicit connection_pool(std::function<void()> on_connection);

    void enqueue(std::function<void()> connection) override;
    void shutdown() override;

private:
    void run();

    std::function<void()> on_connection;
    std::mutex mutex;
    std::condition_variable state_changed;
    std::deque<std::function<void()>> waiting_connections;
    std::size_t idle_threads = 0;
    std::size_t thread_count = 0;
    bool stopping = false;
};

} // namespace lagoonladder::fakes

#endif
