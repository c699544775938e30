#include <lagoonladder/base/invariant.hpp>

#include <cstdlib>
#include <iostream>
#include <mutex>

namespace lagoonladder
{

namespace
{

std::mutex handler_mutex;
invariant_handler installed_handler;

} // namespace

void set_invariant_handler(invariant_handler handler)
{
    std::lock_guard const lock(handler_mutex);
    installed_handler = std::move(handler);
}

void invariant_violated(std::string_view message)
{
    invariant_handler handler;
    {
        std::lock_guard const lock(handler_mutex);
        handler = installed_handler;
    }
    if (handler)
        handler(std::string(message));
    std::cerr << "invariant violated: " << message << std::endl;
    std::abort();
}

} // namespace lagoonladder
