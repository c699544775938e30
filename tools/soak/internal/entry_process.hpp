#ifndef LAGOONLADDER_SOAK_ENTRY_PROCESS_HPP
#define LAGOONLADDER_SOAK_ENTRY_PROCESS_HPP

#include <sys/types.h>

#include <thread>

#include <lagoonladder/soak.hpp>

namespace lagoonladder::soak
{

/// One process of the product. It ends when the thread that started it ends, so all calls must
/// come from the same thread.
class entry_process
{
public:
    entry_process() = default;
    ~entry_process();
    entry_process(entry_process const&) = delete;
    entry_process& operator=(entry_process const&) = delete;

    /// Output of the process is appended to `log`. Throws input_error when it cannot start.
    void start(std::filesystem::path const& binary, std::filesystem::path const& settings,
               std::filesystem::path const& log);
    /// Does nothing without a process.
    void send(int signal) const;
    /// Lets writes to files fail, or succeed again.
    void set_disk_full(bool full) const;
    /// True when a process is there; collects one that has ended.
    bool is_running();
    /// Kills the process, also a frozen one, and waits for its end.
    void kill();

private:
    pid_t pid = 0;
    std::thread log_writer;
};

} // namespace lagoonladder::soak

#endif
