#ifndef LAGOONLADDER_PROXY_CONFIGURATION_WAIT_QUEUE_HPP
#define LAGOONLADDER_PROXY_CONFIGURATION_WAIT_QUEUE_HPP

#include <functional>
#include <memory>
#include <vector>

#include <asio.hpp>

#include <lagoonladder/http.hpp>

namespace lagoonladder::proxy
{

/// Calls that need a configuration which this entry has not read yet: the first one after its
/// start, or a newer one that it has heard of. It has it in a fraction of a second; a refusal
/// would cost callers a longer pause and one of their few retries. Used on its event loop only.
class configuration_wait_queue
{
public:
    /// More calls are refused at once, so that a long wait does not take the memory.
    static constexpr std::size_t max_waiting = 200;
    static constexpr duration longest_wait = seconds(1);

    using handler = std::function<void(std::shared_ptr<http::server_exchange> const&)>;

    using condition = std::function<bool()>;

    /// `go_on` gets each call when its condition holds, or when it has waited for its time.
    configuration_wait_queue(asio::io_context& context, clock const& time_source, handler go_on);

    /// Keeps the call until `may_go` holds; false when it has waited before or too many wait.
    bool wait(std::shared_ptr<http::server_exchange> const& exchange, duration time_left,
              condition may_go);

    /// Lets all calls go on at once.
    void release();

    std::size_t size() const { return this->waiting.size(); }

private:
    struct waiting_call
    {
        std::shared_ptr<http::server_exchange> exchange;
        time_point until{};
        condition may_go;
        std::shared_ptr<bool> is_gone;
    };

    void schedule();
    void check();
    void go_on_with(waiting_call const& call);

    clock const& time;
    handler const go_on;
    asio::steady_timer timer;
    std::vector<waiting_call> waiting;
    /// The call that goes on at present; it does not wait a second time.
    http::server_exchange const* current = nullptr;
};

} // namespace lagoonladder::proxy

#endif
