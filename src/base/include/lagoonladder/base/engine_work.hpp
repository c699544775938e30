#ifndef LAGOONLADDER_BASE_ENGINE_WORK_HPP
#define LAGOONLADDER_BASE_ENGINE_WORK_HPP

#include <cstdint>
#include <map>

#include <lagoonladder/base/strong_type.hpp>

namespace lagoonladder
{

/// Work that one entry gives to the engines of one service.
struct engine_work
{
    /// Engine-seconds of prefill per second, as a moving average.
    double prefill = 0;
    /// Prompts per second, over the same time.
    double prompts = 0;
    /// Requests that were sent and have not ended.
    std::uint32_t running = 0;

    friend bool operator==(engine_work const&, engine_work const&) = default;
};

using engine_work_by_service = std::map<service_name, engine_work>;

} // namespace lagoonladder

#endif
