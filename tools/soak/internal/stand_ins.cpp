#include "stand_ins.hpp"

#include <algorithm>

#include <connection_pool.hpp>

namespace lagoonladder::soak
{

namespace
{

constexpr auto replica_work = milliseconds(5);
constexpr auto heartbeat_interval = milliseconds(1000);
constexpr auto poll_step = milliseconds(20);
constexpr std::size_t kept_routes = 12;

/// Sleeps in steps, so that a stop is seen soon.
void wait_unless_stopped(duration span, stop_flag const& stop)
{
    auto const end = std::chrono::steady_clock::now() + span;
    while (!stop && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(std::min<duration>(poll_step, span));
}

httplib::Client make_client(std::string const& ip, int port, duration timeout)
{
    httplib::Client client(ip, port);
    client.set_connection_timeout(std::min<duration>(timeout, seconds(1)));
    client.set_read_timeout(timeout);
    client.set_tcp_nodelay(true);
    return client;
}

void use_thread_per_connection(httplib::Server& server)
{
    server.new_task_queue = [] { return new fakes::connection_pool([] {}); };
    server.set_keep_alive_max_count(1'000'000);
    server.set_keep_alive_timeout(5);
    server.set_tcp_nodelay(true);
}

std::thread serve(httplib::Server& server, std::string const& ip, int port)
{
    if (!server.bind_to_port(ip, port))
        throw input_error("the address " + ip + ":" + std::to_string(port) + " is taken");
    return std::thread([&server] { server.listen_after_bind(); });
}

void stop_server(httplib::Server& server, std::thread& thread)
{
    // A stop before the server's loop has begun would be lost.
    while (!server.is_running())
        std::this_thread::sleep_for(milliseconds(1));
    server.stop();
    thread.join();
}

} // namespace

replica::replica(recorder& initial_history, machine_list const& initial_machines,
                 std::string initial_id, std::string initial_service, std::string initial_ip,
                 std::uint64_t seed)
    : history_recorder(initial_history)
    , machines(initial_machines)
    , id(std::move(initial_id))
    , service(std::move(initial_service))
    , ip(std::move(initial_ip))
    , random(seed)
{
    use_thread_per_connection(this->server);
    this->server.Get(".*", [this](auto const& request, auto& response)
                     { this->answer(request, response); });
    this->server_thread = serve(this->server, this->ip, replica_port);
    this->heartbeats = std::thread([this] { this->announce(); });
}

replica::~replica()
{
    this->stop = true;
    this->heartbeats.join();
    stop_server(this->server, this->server_thread);
}

void replica::answer(httplib::Request const& request, httplib::Response& response)
{
    auto const call = request.get_header_value("Request-Id");
    response.set_header("Replica-Id", this->id);
    response.set_header("Replica-Load", "1,0,64");
    if (request.path == "/healthz")
        return;
    response.set_header("Request-Id", call);
    auto const expected = request.get_header_value("Expect-Instance");
    if (!expected.empty() && expected != this->id)
    {
        response.status = 421;
        response.set_header("Not-Executed", "1");
        return;
    }
    this->history_recorder.add_execution(call);
    std::this_thread::sleep_for(replica_work);
    response.set_header("Response-Seal", this->id + "." + call);
    response.set_content("answer to " + call, "text/plain");
}

void replica::announce()
{
    auto const born = std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    std::uint64_t sequence = 0;
    while (!this->stop)
    {
        auto const body = nlohmann::json{
            {"backend", this->service},
            {"address", this->ip + ":" + std::to_string(replica_port)},
            {"zone", "hob-a"},
            {"version", "v1"},
            {"slots", 64},
            {"state", "ready"},
            {"coldRemainingMs", 0},
            {"sequence", ++sequence},
            {"born",
             born.count()}}.dump();
        for (bool taken = false; !taken && !this->stop;)
        {
            auto const slot = draw_number(this->random, 0, this->machines.size() - 1);
            taken = this->announce_to(this->machines.at(slot), body);
        }
        wait_unless_stopped(heartbeat_interval, this->stop);
    }
}

bool replica::announce_to(machine const& target, std::string const& body) const
{
    auto client = make_client(target.ip, control_port, seconds(1));
    auto const answer = client.Post("/Replicas.Heartbeat/" + this->id, body, "application/json");
    if (!answer)
        std::this_thread::sleep_for(poll_step);
    return answer && answer->status / 100 == 2;
}

platform_interface::platform_interface(std::string const& ip)
{
    use_thread_per_connection(this->server);
    this->server.Post(".*", [](auto const&, auto& response) { response.status = 200; });
    this->server_thread = serve(this->server, ip, platform_port);
}

platform_interface::~platform_interface()
{
    stop_server(this->server, this->server_thread);
}

configuration_operator::configuration_operator(recorder& initial_history,
                                               machine_list const& initial_machines,
                                               std::vector<std::string> services,
                                               std::uint64_t seed)
    : history_recorder(initial_history)
    , machines(initial_machines)
    , random(seed)
    , series(std::move(services))
{
}

configuration_operator::~configuration_operator()
{
    this->finish();
}

void configuration_operator::start()
{
    this->worker = std::thread([this] { this->run(); });
}

void configuration_operator::finish()
{
    this->stop = true;
    if (this->worker.joinable())
        this->worker.join();
}

std::set<std::string> configuration_operator::routes(config_version version) const
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    return this->series.routes(version);
}

std::vector<std::string> configuration_operator::newest_routes() const
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    return {this->added.rbegin(), this->added.rend()};
}

std::vector<std::string> configuration_operator::removed_routes() const
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    return {this->removed.rbegin(), this->removed.rend()};
}

void configuration_operator::run()
{
    this->send_until_acknowledged(this->take_change().version, this->random());
    while (!this->stop)
    {
        wait_unless_stopped(draw_duration(this->random, milliseconds(20), milliseconds(500)),
                            this->stop);
        if (this->stop)
            return;
        auto const choice = draw_number(this->random, 1, 20);
        if (choice == 1)
            this->send_invalid();
        else if (choice == 2)
            this->repeat_older();
        else
            this->make_changes();
    }
}

void configuration_operator::make_changes()
{
    auto const first = this->take_change().version;
    auto const first_seed = this->random();
    bool const is_race = draw_number(this->random, 1, 6) == 1;
    if (!is_race)
    {
        this->send_until_acknowledged(first, first_seed);
        return;
    }
    auto const second = this->take_change().version;
    auto const second_seed = this->random();
    std::thread other([&] { this->send_until_acknowledged(second, second_seed); });
    this->send_until_acknowledged(first, first_seed);
    other.join();
}

void configuration_operator::send_invalid()
{
    change_event change;
    {
        std::lock_guard<std::mutex> const lock(this->mutex);
        change = this->series.next_invalid_change(this->random);
    }
    change.at = this->history_recorder.now();
    this->history_recorder.add(change);
    auto const slot = draw_number(this->random, 0, this->machines.size() - 1);
    this->send_once(change.version, this->machines.at(slot));
}

void configuration_operator::repeat_older()
{
    auto const number = draw_number(this->random, 0, this->sent_versions.size() - 1);
    auto const slot = draw_number(this->random, 0, this->machines.size() - 1);
    this->send_once(this->sent_versions[number], this->machines.at(slot));
}

change_event configuration_operator::take_change()
{
    change_event change;
    {
        std::lock_guard<std::mutex> const lock(this->mutex);
        change = this->series.next_change(this->random);
        this->added.insert(this->added.end(), change.added.begin(), change.added.end());
        for (auto const& route : change.removed)
        {
            std::erase(this->added, route);
            this->removed.push_back(route);
        }
        if (this->removed.size() > kept_routes)
            this->removed.erase(this->removed.begin());
    }
    this->sent_versions.push_back(change.version);
    change.at = this->history_recorder.now();
    this->history_recorder.add(change);
    return change;
}

void configuration_operator::send_until_acknowledged(config_version version,
                                                     std::uint64_t choice_seed)
{
    std::mt19937_64 choices(choice_seed);
    duration pause = milliseconds(50);
    while (!this->stop)
    {
        auto const slot = draw_number(choices, 0, this->machines.size() - 1);
        auto const status = this->send_once(version, this->machines.at(slot));
        if (status == 200)
        {
            ++this->acknowledgements;
            return;
        }
        wait_unless_stopped(pause, this->stop);
        pause = std::min<duration>(pause * 2, milliseconds(800));
    }
}

int configuration_operator::send_once(config_version version, machine const& target)
{
    std::string content;
    {
        std::lock_guard<std::mutex> const lock(this->mutex);
        content = this->series.content(version);
    }
    auto client = make_client(target.ip, control_port, seconds(1));
    client.set_follow_location(true);
    put_event event;
    event.entry = target.id;
    event.version = version;
    event.sent = this->history_recorder.now();
    ++this->attempts;
    auto const answer = client.Post("/Config.Put", content, "application/json");
    event.ended = this->history_recorder.now();
    event.status = answer ? answer->status : 0;
    this->history_recorder.add(event);
    return event.status;
}

namespace
{

/// Sets version and `intact` from the text of a configuration. A text that cannot be read leaves
/// version 0, which was never sent.
void parse_configuration(std::string const& text, configuration_operator const& source,
                         read_event& event)
{
    auto const document = nlohmann::json::parse(text, nullptr, false);
    if (document.is_discarded() || !document.contains("version") || !document.contains("routes"))
        return;
    event.version = config_version(document["version"].get<std::uint64_t>());
    std::set<std::string> routes;
    for (auto const& route : document["routes"])
        routes.insert(route.value("name", ""));
    event.intact = routes == source.routes(event.version);
}

/// Prefers the newest routes, whose state changes.
std::string draw_route(std::mt19937_64& random, configuration_operator const& source)
{
    auto const added = source.newest_routes();
    auto const removed = source.removed_routes();
    auto const choice = draw_number(random, 1, 10);
    if (choice <= 2 && !removed.empty())
        return removed[draw_number(random, 0, std::min<std::size_t>(removed.size(), 3) - 1)];
    if (added.empty())
        return "none";
    if (choice <= 6)
        return added.front();
    if (choice <= 8)
        return added[draw_number(random, 0, std::min<std::size_t>(added.size(), 3) - 1)];
    return added[draw_number(random, 0, added.size() - 1)];
}

/// Timeouts that answers of frozen entries after their thaw are recorded with.
constexpr auto call_timeout = seconds(7);

} // namespace

read_event read_configuration(recorder& history_recorder, configuration_operator const& source,
                              machine const& target)
{
    auto client = make_client(target.ip, control_port, seconds(1));
    read_event event;
    event.entry = target.id;
    event.sent = history_recorder.now();
    auto const answer = client.Get("/Config.Get");
    event.ended = history_recorder.now();
    event.status = answer ? answer->status : 0;
    if (event.status == 200)
        parse_configuration(answer->body, source, event);
    history_recorder.add(event);
    return event;
}

void run_reader(recorder& history_recorder, configuration_operator const& source,
                machine_list const& machines, std::uint64_t seed, stop_flag const& stop)
{
    std::mt19937_64 random(seed);
    while (!stop)
    {
        auto const slot = draw_number(random, 0, machines.size() - 1);
        read_configuration(history_recorder, source, machines.at(slot));
        wait_unless_stopped(draw_duration(random, milliseconds(5), milliseconds(100)), stop);
    }
}

void run_caller(recorder& history_recorder, configuration_operator const& source,
                machine_list const& machines, std::size_t slot, std::uint64_t seed,
                stop_flag const& stop)
{
    std::mt19937_64 random(seed);
    std::unique_ptr<httplib::Client> client;
    entry_id connected{};
    for (std::uint64_t number = 0; !stop; ++number)
    {
        auto const target = machines.at(slot);
        if (!client || connected != target.id)
        {
            client =
                std::make_unique<httplib::Client>(make_client(target.ip, front_port, call_timeout));
            client->set_keep_alive(true);
            connected = target.id;
        }
        call_event event;
        event.entry = target.id;
        event.route = draw_route(random, source);
        event.id = std::to_string(seed) + "-" + std::to_string(number);
        event.sent = history_recorder.now();
        auto const answer = client->Get("/" + event.route + "/x",
                                        {{"Host", call_host},
                                         {"Request-Id", event.id},
                                         {"Request-Deadline-Ms", "8000"},
                                         {"Authorization", std::string("Token ") + call_key}});
        event.ended = history_recorder.now();
        event.status = answer ? answer->status : 0;
        history_recorder.add(event);
        if (!answer)
            client.reset();
        wait_unless_stopped(draw_duration(random, milliseconds(20), milliseconds(120)), stop);
    }
}

} // namespace lagoonladder::soak
