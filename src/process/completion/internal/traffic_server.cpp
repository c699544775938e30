#include <lagoonladder/completion/traffic_server.hpp>

#include <thread>

#include <completion_routes.hpp>
#include <directory_routes.hpp>
#include <lagoonladder/completion/route_table.hpp>
#include <plain_routes.hpp>
#include <request_routes.hpp>
#include <requests_service.hpp>

namespace lagoonladder::completion
{

namespace
{

// Slots that requests of other entries have freed are noticed within this time, which is short
// compared to the 31 ms between tokens.
constexpr duration busy_tick_interval = milliseconds(20);
// Without requests, the tick only checks for lost owners.
constexpr duration idle_tick_interval = milliseconds(500);
constexpr duration companion_tick_interval = milliseconds(60);
constexpr duration observe_interval = seconds(1);

// Connections beyond the limit that receive a refusal before they are closed; each takes a few
// kilobytes.
constexpr std::size_t max_refused_connections = 64;

http::server_options make_server_options(settings const& config,
                                         std::shared_ptr<http::request_memory> memory)
{
    http::server_options options{config.http, config.max_connections, "http",
                                 max_refused_connections};
    options.memory = std::move(memory);
    options.socket_buffer_bytes = static_cast<std::uint32_t>(config.socket_buffer);
    return options;
}

http::connection_limits make_limits(settings const& config)
{
    http::connection_limits limits;
    limits.max_body_bytes = config.max_body_bytes;
    return limits;
}

} // namespace

struct traffic_server::implementation
{
    implementation(config::settings const& config, control::control_plane& control,
                   event_sink& events, observability::metrics& metrics, clock const& time,
                   std::uint64_t seed, std::shared_ptr<http::request_memory> memory)
        : context{config, control, events, metrics, time, std::make_shared<asio::io_context>(1)}
        , work(asio::make_work_guard(*this->context.loop))
        , entries(context)
        , store(context)
        , companions(context, store, entries)
        , router(context, seed)
        , gate(context, router, [this] { this->expedite_tick(); })
        , calls(context)
        , companion_requests(context, store)
        , completions({context, store, companions, router, gate, calls}, entries,
                      companion_requests)
        , directory_api(context, entries)
        , completion_api(completions)
        , request_api(completions)
        , plain_api({context, router, calls}, completions)
        , routes(context)
        , server(
              *context.loop, make_server_options(config, std::move(memory)), routes,
              [&config] { return make_limits(config); }, events, time)
        , timer(*context.loop)
    {
    }

    void tick();
    void schedule_tick();
    /// Brings a tick that was scheduled while the entry was idle forward.
    void expedite_tick();
    void run();

    traffic_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    entry_selector entries;
    completion_store store;
    companion_link companions;
    traffic_router router;
    admission_gate gate;
    endpoint_calls calls;
    completion::requests_service companion_requests;
    completion_service completions;
    directory_routes directory_api;
    completion_routes completion_api;
    request_routes request_api;
    plain_routes plain_api;
    route_table routes;
    http::server server;
    asio::steady_timer timer;
    time_point next_companion_tick{};
    time_point next_observation{};
    std::thread thread;
};

void traffic_server::implementation::tick()
{
    this->gate.admit_waiting();
    auto const now = this->context.time.now();
    if (now >= this->next_companion_tick)
    {
        this->next_companion_tick = now + companion_tick_interval;
        this->companions.tick();
        this->completions.take_over_lost_requests();
    }
    if (now >= this->next_observation)
    {
        this->next_observation = now + observe_interval;
        this->gate.observe();
        this->store.expire();
        this->context.control.set_open_requests(*this->context.open_requests);
    }
    this->schedule_tick();
}

void traffic_server::implementation::schedule_tick()
{
    bool const is_busy =
        *this->context.open_requests > 0 || this->gate.has_waiters() || this->companions.is_busy();
    this->timer.expires_after(is_busy ? busy_tick_interval : idle_tick_interval);
    this->timer.async_wait(
        [this](asio::error_code const& cancelled)
        {
            if (!cancelled)
                this->tick();
        });
}

void traffic_server::implementation::expedite_tick()
{
    // A tick that is due soon is left as it is: requests that arrive at short intervals would
    // otherwise postpone it without end.
    if (this->timer.expiry() > std::chrono::steady_clock::now() + busy_tick_interval)
        this->schedule_tick();
}

void traffic_server::implementation::run()
{
    try
    {
        this->context.loop->run();
    }
    catch (std::exception const& exception)
    {
        this->context.events.emit(severity::error, "traffic.failed",
                                  {{"reason", exception.what()}});
        invariant_violated(std::string("traffic thread: ") + exception.what());
    }
}

traffic_server::traffic_server(config::settings const& config, control::control_plane& control,
                               event_sink& events, observability::metrics& metrics,
                               clock const& time, std::uint64_t seed,
                               std::vector<route_module*> modules,
                               std::shared_ptr<http::request_memory> memory)
    : state(std::make_unique<implementation>(config, control, events, metrics, time, seed,
                                             std::move(memory)))
{
    this->state->directory_api.register_routes(this->state->routes);
    this->state->completion_api.register_routes(this->state->routes);
    this->state->request_api.register_routes(this->state->routes);
    this->state->plain_api.register_routes(this->state->routes);
    for (auto* module : modules)
        module->register_routes(this->state->routes);
}

traffic_server::~traffic_server()
{
    this->stop();
}

void traffic_server::start()
{
    this->state->server.start();
    this->state->schedule_tick();
    this->state->thread = std::thread([this] { this->state->run(); });
}

network_address traffic_server::address() const
{
    return this->state->server.address();
}

void traffic_server::drain()
{
    this->state->context.control.set_leaving(this->state->context.config.vm);
    asio::post(*this->state->context.loop, [this] { this->state->server.close_after_answers(); });
}

void traffic_server::close_connections()
{
    asio::post(*this->state->context.loop, [this] { this->state->server.drain(); });
}

bool traffic_server::has_closed_connections() const
{
    return this->state->server.is_drained();
}

std::uint32_t traffic_server::open_requests() const
{
    return *this->state->context.open_requests;
}

bool traffic_server::wait_until_idle(duration timeout) const
{
    auto const until = std::chrono::steady_clock::now() + timeout;
    while (this->open_requests() > 0 && std::chrono::steady_clock::now() < until)
        std::this_thread::sleep_for(milliseconds(10));
    return this->open_requests() == 0;
}

void traffic_server::stop()
{
    if (!this->state->thread.joinable())
        return;
    asio::post(*this->state->context.loop,
               [this]
               {
                   this->state->timer.cancel();
                   this->state->server.stop();
                   this->state->calls.stop();
                   this->state->context.loop->stop();
               });
    this->state->thread.join();
    this->state->companions.stop();
}

grpc::Service& traffic_server::requests_service()
{
    return this->state->companion_requests;
}

} // namespace lagoonladder::completion
