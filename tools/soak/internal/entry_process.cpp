#include "entry_process.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>

namespace lagoonladder::soak
{

namespace
{

constexpr int exit_code_of_failed_start = 127;

void copy_output(int descriptor, std::filesystem::path const& log)
{
    std::ofstream file(log, std::ios::app);
    std::array<char, 4096> buffer{};
    for (;;)
    {
        auto const count = ::read(descriptor, buffer.data(), buffer.size());
        if (count <= 0)
            break;
        file.write(buffer.data(), count);
        file.flush();
    }
    ::close(descriptor);
}

/// Runs in the new process, where only async-signal-safe functions may be called.
[[noreturn]] void run_binary(char const* binary, char* const* arguments, char* const* environment,
                             int output)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::setpgid(0, 0);
    // A write beyond the limit of set_disk_full() fails instead of ending the process.
    std::signal(SIGXFSZ, SIG_IGN);
    std::signal(SIGPIPE, SIG_DFL);
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    int const input = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
    ::dup2(input, STDIN_FILENO);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execve(binary, arguments, environment);
    ::_exit(exit_code_of_failed_start);
}

} // namespace

entry_process::~entry_process()
{
    this->kill();
}

void entry_process::start(std::filesystem::path const& binary,
                          std::filesystem::path const& settings, std::filesystem::path const& log)
{
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_CLOEXEC) != 0)
        throw input_error("cannot make a pipe for a process");
    std::string program = binary.string();
    std::string file = settings.string();
    std::string command = "serve";
    std::string option = "--settings";
    std::array<char*, 5> arguments{program.data(), command.data(), option.data(), file.data(),
                                   nullptr};
    std::string language = "LANG=C";
    std::array<char*, 2> environment{language.data(), nullptr};
    this->pid = ::fork();
    if (this->pid == 0)
        run_binary(program.c_str(), arguments.data(), environment.data(), ends[1]);
    ::close(ends[1]);
    if (this->pid < 0)
    {
        ::close(ends[0]);
        this->pid = 0;
        throw input_error("cannot start a process");
    }
    this->log_writer = std::thread([descriptor = ends[0], log] { copy_output(descriptor, log); });
}

void entry_process::send(int signal) const
{
    if (this->pid != 0)
        ::kill(this->pid, signal);
}

void entry_process::set_disk_full(bool full) const
{
    if (this->pid == 0)
        return;
    rlimit const limit{full ? rlim_t(0) : RLIM_INFINITY, RLIM_INFINITY};
    ::prlimit(this->pid, RLIMIT_FSIZE, &limit, nullptr);
}

bool entry_process::is_running()
{
    if (this->pid == 0)
        return false;
    int status = 0;
    if (::waitpid(this->pid, &status, WNOHANG) != this->pid)
        return true;
    this->pid = 0;
    this->log_writer.join();
    return false;
}

void entry_process::kill()
{
    if (!this->is_running())
        return;
    this->send(SIGKILL);
    int status = 0;
    ::waitpid(this->pid, &status, 0);
    this->pid = 0;
    this->log_writer.join();
}

} // namespace lagoonladder::soak
