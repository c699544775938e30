#ifndef LAGOONLADDER_SOAK_DEPLOYMENT_HPP
#define LAGOONLADDER_SOAK_DEPLOYMENT_HPP

#include <memory>

#include "entry_process.hpp"
#include "machine_list.hpp"
#include "recorder.hpp"

namespace lagoonladder::soak
{

/// Group of the addresses of replicas and of the platform's interface.
inline constexpr unsigned stand_in_group = 250;
inline constexpr unsigned platform_number = 200;

/// Folder below the system's folder for temporary files; removed with its contents.
class temporary_folder
{
public:
    temporary_folder();
    ~temporary_folder();
    temporary_folder(temporary_folder const&) = delete;
    temporary_folder& operator=(temporary_folder const&) = delete;

    std::filesystem::path path;
};

/// The entries of a run: processes, addresses, settings and disks. A slot is a role that machines
/// take one after another. Every action is recorded. All calls come from one thread.
class deployment
{
public:
    /// Throws input_error when the template cannot be used or an address is taken.
    deployment(run_options const& initial_options, recorder& initial_history,
               std::mt19937_64& initial_random);

    machine_list const& machines() const { return this->list; }
    std::size_t core_size() const { return this->core; }
    std::size_t size() const { return this->slots.size(); }
    std::string address(unsigned group, unsigned number) const;

    /// Starts all with empty disks.
    void found();
    /// Starts the process of a slot with the settings of now.
    void start(std::size_t slot);
    void kill(std::size_t slot);
    void stop(std::size_t slot);
    void resume(std::size_t slot);
    void terminate(std::size_t slot);
    bool is_running(std::size_t slot);
    /// Writes the settings anew and sends SIGHUP.
    void reload(std::size_t slot);
    /// Removes the contents of the disk of a process that does not run.
    void lose_disk(std::size_t slot);
    /// Gives the role to a machine with an empty disk at a new address; start() starts it.
    void replace(std::size_t slot);
    void fill_disk(std::size_t slot);
    void free_disk(std::size_t slot);
    void kill_core();
    /// Kills all processes; returns the time before the first kill.
    run_time kill_all();
    /// Restarts processes that ended by themselves, some time later.
    void restart_exited();

private:
    struct slot_state
    {
        entry_process process;
        machine current;
        unsigned generation = 0;
        bool is_expected = false;
        std::optional<run_time> restart_at;
    };

    bool has_disk(std::size_t slot) const { return slot < this->core; }
    machine make_machine(std::size_t slot, unsigned generation) const;
    std::filesystem::path data_folder(std::size_t slot) const;
    void write_settings(std::size_t slot, bool is_founding);
    std::vector<std::string> draw_seeds(bool is_founding);
    void run_process(std::size_t slot, bool is_founding);
    void record(std::size_t slot, fault_kind kind, run_time at);
    void require_free_addresses() const;

    run_options const& options;
    recorder& history_recorder;
    std::mt19937_64& random;
    std::string template_text;
    temporary_folder folder;
    std::filesystem::path logs;
    std::size_t core;
    std::vector<std::unique_ptr<slot_state>> slots;
    machine_list list;
};

} // namespace lagoonladder::soak

#endif
