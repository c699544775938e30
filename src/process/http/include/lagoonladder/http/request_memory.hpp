#ifndef LAGOONLADDER_HTTP_REQUEST_MEMORY_HPP
#define LAGOONLADDER_HTTP_REQUEST_MEMORY_HPP

#include <cstdint>
#include <functional>
#include <memory>

#include <lagoonladder/base.hpp>

namespace lagoonladder::http
{

/// Budget for the memory of received requests and unsent responses, shared by all servers of a
/// process. Safe to use from any thread.
class request_memory : public std::enable_shared_from_this<request_memory>
{
public:
    /// Memory that a request or the unsent responses of a connection take up. Is given back when
    /// the object is destroyed.
    class holding
    {
    public:
        virtual ~holding() = default;

        /// Changes the size to `bytes`. Returns false when the budget has no room, or when this
        /// holding was released for another one; the size is unchanged then.
        virtual bool resize(time_point now, std::uint64_t bytes) = 0;
        /// As resize(), for memory that is in use already. Others, or this holding itself, are
        /// released when the budget has no room.
        virtual void resize_used(time_point now, std::uint64_t bytes) = 0;
        /// Records that `bytes` were received or sent. Holdings that make no progress are released
        /// first.
        virtual void record_progress(time_point now, std::uint64_t bytes) = 0;
        /// States that the request is passed on and cannot be refused any more. Returns false when
        /// it was released already.
        virtual bool pin() = 0;
    };

    static constexpr std::uint64_t default_limit = 32 * 1024 * 1024;

    explicit request_memory(std::uint64_t limit_bytes = default_limit);
    ~request_memory();

    request_memory(request_memory const&) = delete;
    request_memory& operator=(request_memory const&) = delete;

    /// Begins a holding of no bytes. `release` is called once, on any thread, when the memory has
    /// to be freed for another request.
    std::unique_ptr<holding> open(time_point now, std::function<void()> release);

    std::uint64_t used() const;

private:
    class implementation;
    class counted_holding;
    std::unique_ptr<implementation> state;
};

} // namespace lagoonladder::http

#endif
