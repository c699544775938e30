#include "deployment.hpp"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include <asio.hpp>

namespace lagoonladder::soak
{

namespace
{

constexpr std::size_t fewest_entries = 5;
constexpr std::size_t most_entries = 200;
constexpr std::size_t seed_count = 3;
constexpr duration restart_delay = milliseconds(500);

std::array<char const*, 4> const zones = {"hob-a", "hob-b", "lst-a", "dvp-a"};

std::string read_file(std::filesystem::path const& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file || text.str().empty())
        throw input_error("cannot read the settings template " + path.string());
    return text.str();
}

void require_free(std::string const& ip, int port)
{
    asio::io_context context;
    asio::error_code problem;
    auto const address = asio::ip::make_address_v4(ip, problem);
    if (problem)
        throw input_error("the network gives no address: " + ip);
    asio::ip::tcp::acceptor acceptor(context, asio::ip::tcp::v4());
    acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    acceptor.bind({address, static_cast<std::uint16_t>(port)}, problem);
    if (!problem)
        acceptor.listen(1, problem);
    if (problem)
        throw input_error("the address " + ip + ":" + std::to_string(port) +
                          " cannot be used: " + problem.message());
}

nlohmann::json platform_bounds()
{
    return {{"contactMs", 3000},       {"drainMs", 2000},       {"graceS", 8},
            {"configApplyMs", 2000},   {"budgetSlack", 62},     {"retryWindowS", 10},
            {"quotaWindowS", 8},       {"quotaOvershoot", 0.1}, {"quotaSlack", 190000},
            {"leaseMs", 3000},         {"exposureShare", 0.1},  {"exposureSlack", 50},
            {"downgradeSlackMs", 250}, {"usageWindowS", 5}};
}

} // namespace

temporary_folder::temporary_folder()
{
    auto pattern = (std::filesystem::temp_directory_path() / "lagoonladder-soak-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
        throw input_error("cannot make a temporary folder");
    this->path = pattern;
}

temporary_folder::~temporary_folder()
{
    std::error_code ignored;
    std::filesystem::remove_all(this->path, ignored);
}

deployment::deployment(run_options const& initial_options, recorder& initial_history,
                       std::mt19937_64& initial_random)
    : options(initial_options)
    , history_recorder(initial_history)
    , random(initial_random)
    , template_text(read_file(initial_options.settings_template))
    , logs(initial_options.logs.empty() ? this->folder.path : initial_options.logs)
    , core(initial_options.entries * 2 / 5)
    , list({})
{
    if (this->options.entries < fewest_entries || this->options.entries > most_entries)
        throw input_error("the number of entries must be from 5 to 200");
    if (::access(this->options.binary.c_str(), X_OK) != 0)
        throw input_error("no program at " + this->options.binary.string());
    // Below three voters no loss is allowed.
    this->core = std::max<std::size_t>(this->core, 3);
    std::error_code problem;
    std::filesystem::create_directories(this->logs, problem);
    if (problem)
        throw input_error("cannot make the folder " + this->logs.string());
    std::vector<machine> machines;
    for (std::size_t slot = 0; slot < this->options.entries; ++slot)
    {
        this->slots.push_back(std::make_unique<slot_state>());
        this->slots.back()->current = this->make_machine(slot, 0);
        machines.push_back(this->slots.back()->current);
    }
    this->list.reset(std::move(machines));
    this->require_free_addresses();
}

std::string deployment::address(unsigned group, unsigned number) const
{
    return this->options.network + "." + std::to_string(group) + "." + std::to_string(number);
}

void deployment::found()
{
    for (std::size_t slot = 0; slot < this->slots.size(); ++slot)
        this->run_process(slot, true);
}

void deployment::start(std::size_t slot)
{
    this->run_process(slot, false);
}

void deployment::kill(std::size_t slot)
{
    this->record(slot, fault_kind::kill, this->history_recorder.now());
    auto& state = *this->slots[slot];
    state.is_expected = false;
    state.restart_at.reset();
    state.process.kill();
}

void deployment::stop(std::size_t slot)
{
    this->record(slot, fault_kind::stop, this->history_recorder.now());
    this->slots[slot]->process.send(SIGSTOP);
}

void deployment::resume(std::size_t slot)
{
    // Recorded first: the process may answer before this thread goes on.
    this->record(slot, fault_kind::resume, this->history_recorder.now());
    this->slots[slot]->process.send(SIGCONT);
}

void deployment::terminate(std::size_t slot)
{
    this->record(slot, fault_kind::terminate, this->history_recorder.now());
    this->slots[slot]->is_expected = false;
    this->slots[slot]->restart_at.reset();
    this->slots[slot]->process.send(SIGTERM);
}

bool deployment::is_running(std::size_t slot)
{
    return this->slots[slot]->process.is_running();
}

void deployment::reload(std::size_t slot)
{
    this->write_settings(slot, false);
    this->record(slot, fault_kind::reload, this->history_recorder.now());
    this->slots[slot]->process.send(SIGHUP);
}

void deployment::lose_disk(std::size_t slot)
{
    this->record(slot, fault_kind::lose_disk, this->history_recorder.now());
    std::filesystem::remove_all(this->data_folder(slot));
}

void deployment::replace(std::size_t slot)
{
    this->record(slot, fault_kind::replace, this->history_recorder.now());
    auto& state = *this->slots[slot];
    std::filesystem::remove_all(this->data_folder(slot));
    ++state.generation;
    state.current = this->make_machine(slot, state.generation);
    this->list.replace(slot, state.current);
}

void deployment::fill_disk(std::size_t slot)
{
    this->record(slot, fault_kind::fill_disk, this->history_recorder.now());
    this->slots[slot]->process.set_disk_full(true);
}

void deployment::free_disk(std::size_t slot)
{
    this->slots[slot]->process.set_disk_full(false);
    this->record(slot, fault_kind::free_disk, this->history_recorder.now());
}

void deployment::kill_core()
{
    auto const at = this->history_recorder.now();
    this->history_recorder.add(fault_event{at, entry_id{}, fault_kind::kill_core, true});
    for (std::size_t slot = 0; slot < this->core; ++slot)
    {
        this->record(slot, fault_kind::kill, at);
        this->slots[slot]->is_expected = false;
        this->slots[slot]->restart_at.reset();
        this->slots[slot]->process.send(SIGKILL);
    }
    for (std::size_t slot = 0; slot < this->core; ++slot)
        this->slots[slot]->process.kill();
}

run_time deployment::kill_all()
{
    auto const at = this->history_recorder.now();
    for (auto const& state : this->slots)
    {
        state->is_expected = false;
        state->restart_at.reset();
        state->process.send(SIGKILL);
    }
    for (std::size_t slot = 0; slot < this->slots.size(); ++slot)
    {
        this->record(slot, fault_kind::kill, at);
        this->slots[slot]->process.kill();
    }
    return at;
}

void deployment::restart_exited()
{
    for (std::size_t slot = 0; slot < this->slots.size(); ++slot)
    {
        auto& state = *this->slots[slot];
        auto const now = this->history_recorder.now();
        if (state.is_expected && !state.process.is_running())
        {
            this->record(slot, fault_kind::exit, now);
            state.is_expected = false;
            state.restart_at = now + restart_delay;
        }
        if (state.restart_at && now >= *state.restart_at)
            this->start(slot);
    }
}

machine deployment::make_machine(std::size_t slot, unsigned generation) const
{
    auto const number = static_cast<unsigned>(slot + 1);
    return {entry_id(generation * 1000 + number), this->address(generation, number)};
}

std::filesystem::path deployment::data_folder(std::size_t slot) const
{
    auto const id = static_cast<std::uint32_t>(this->slots[slot]->current.id);
    return this->folder.path / ("data-" + std::to_string(id));
}

void deployment::write_settings(std::size_t slot, bool is_founding)
{
    auto const& current = this->slots[slot]->current;
    auto const at_port = [](std::string const& ip, int port)
    { return ip + ":" + std::to_string(port); };
    nlohmann::json fields;
    fields["nodeName"] = "front-" + std::to_string(static_cast<std::uint32_t>(current.id));
    fields["ip"] = current.ip;
    fields["zone"] = zones[slot % zones.size()];
    fields["internalPortRange"] = {first_internal_port, last_internal_port};
    fields["seedNodes"] = this->draw_seeds(is_founding);
    fields["bootstrap"] = is_founding;
    fields["listen"] = {{"front", at_port(current.ip, front_port)},
                        {"readiness", at_port(current.ip, readiness_port)},
                        {"control", at_port(current.ip, control_port)},
                        {"directory", at_port(current.ip, directory_port)}};
    fields["bounds"] = platform_bounds();
    fields["cloud"]["address"] =
        at_port(this->address(stand_in_group, platform_number), platform_port);
    if (this->has_disk(slot))
    {
        std::filesystem::create_directories(this->data_folder(slot));
        fields["dataDir"] = this->data_folder(slot).string();
    }
    auto const path = this->folder.path / (std::to_string(slot) + ".ini");
    std::ofstream file(path);
    file << fill_template(this->template_text, fields);
    file.close();
    if (!file)
        throw input_error("cannot write " + path.string());
}

std::vector<std::string> deployment::draw_seeds(bool is_founding)
{
    std::vector<std::string> seeds;
    std::set<std::size_t> used;
    while (seeds.size() < seed_count)
    {
        // At the first start all are told the same machines; later, any of the list.
        auto const slot =
            is_founding ? seeds.size() : draw_number(this->random, 0, this->slots.size() - 1);
        if (used.insert(slot).second)
            seeds.push_back(this->slots[slot]->current.ip + ":" + std::to_string(control_port));
    }
    return seeds;
}

void deployment::run_process(std::size_t slot, bool is_founding)
{
    this->write_settings(slot, is_founding);
    auto& state = *this->slots[slot];
    auto const id = static_cast<std::uint32_t>(state.current.id);
    state.restart_at.reset();
    state.process.kill();
    this->record(slot, fault_kind::start, this->history_recorder.now());
    state.process.start(std::filesystem::absolute(this->options.binary),
                        this->folder.path / (std::to_string(slot) + ".ini"),
                        this->logs / ("entry-" + std::to_string(id) + ".log"));
    state.is_expected = true;
}

void deployment::record(std::size_t slot, fault_kind kind, run_time at)
{
    this->history_recorder.add(
        fault_event{at, this->slots[slot]->current.id, kind, this->has_disk(slot)});
}

void deployment::require_free_addresses() const
{
    for (auto const& state : this->slots)
        for (int const port : {front_port, readiness_port, control_port, directory_port,
                               metrics_port, first_internal_port, last_internal_port})
            require_free(state->current.ip, port);
}

} // namespace lagoonladder::soak
