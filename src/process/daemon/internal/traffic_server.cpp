#include <traffic_server.hpp>

#include <completion_routes.hpp>
#include <plain_routes.hpp>
#include <request_routes.hpp>
#include <requests_service.hpp>
#include <traffic_directory_routes.hpp>
#include <traffic_listener.hpp>

namespace lagoonladder::daemon
{

namespace
{

// Queued requests learn of slots that other entries' requests freed within this
// time; it is short against the 31 ms between tokens.
constexpr duration tick_interval = milliseconds(20);
constexpr std::uint64_t ticks_per_second = 50;
constexpr std::uint64_t ticks_per_flush = 3;

// For calls and commits that nobody waits for.
constexpr std::size_t max_background_threads = 16;

} // namespace

struct traffic_server::implementation
{
    implementation(settings const& config, control_plane& control, event_sink& events,
                   observability::metrics& metrics, clock const& time, std::uint64_t seed)
        : context{config, control, events, metrics, time}
        , entries(context)
        , store(context)
        , companions(context, store, entries)
        , router(context, seed)
        , gate(context, router)
        , upstream(time)
        , companion_side(context, store)
        , background(max_background_threads, 0)
        , completions({context, store, companions, router, gate, upstream, background}, entries,
                      companion_side)
        , directory(context, entries)
        , completion(completions)
        , lookup(completions)
        , plain({context, router, upstream, background}, completions)
        , listener(context)
    {
    }

    void tick(std::uint64_t count);
    void run_ticks();

    traffic_context context;
    traffic_entries entries;
    completion_store store;
    companion_link companions;
    traffic_router router;
    admission_gate gate;
    upstream_connections upstream;
    daemon::requests_service companion_side;
    worker_threads background;
    completion_service completions;
    directory_routes directory;
    completion_routes completion;
    request_routes lookup;
    plain_routes plain;
    traffic_listener listener;
    std::thread ticker;
    std::atomic<bool> stopping = false;
};

void traffic_server::implementation::tick(std::uint64_t count)
{
    this->gate.pump();
    if (count % ticks_per_flush == 0)
    {
        this->companions.tick();
        this->completions.take_over_lost();
    }
    if (count % ticks_per_second != 0)
        return;
    this->gate.observe();
    this->upstream.close_idle();
    this->store.expire();
    this->context.control.set_open_requests(this->context.open_requests);
}

void traffic_server::implementation::run_ticks()
{
    for (std::uint64_t count = 1; !this->stopping; ++count)
    {
        std::this_thread::sleep_for(tick_interval);
        this->tick(count);
    }
}

traffic_server::traffic_server(settings const& config, control_plane& control, event_sink& events,
                               observability::metrics& metrics, clock const& time,
                               std::uint64_t seed, std::vector<route_module*> modules)
    : state(std::make_unique<implementation>(config, control, events, metrics, time, seed))
{
    this->state->listener.add(this->state->directory);
    this->state->listener.add(this->state->completion);
    this->state->listener.add(this->state->lookup);
    this->state->listener.add(this->state->plain);
    for (auto* module : modules)
        this->state->listener.add(*module);
}

traffic_server::~traffic_server()
{
    this->stop();
}

void traffic_server::start()
{
    this->state->listener.start();
    this->state->ticker = std::thread([this] { this->state->run_ticks(); });
}

network_address traffic_server::address() const
{
    return this->state->listener.address();
}

void traffic_server::drain()
{
    this->state->context.control.set_leaving(this->state->context.config.vm);
}

std::uint32_t traffic_server::open_requests() const
{
    return this->state->context.open_requests;
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
    this->state->listener.stop();
    this->state->completions.stop();
    this->state->stopping = true;
    if (this->state->ticker.joinable())
        this->state->ticker.join();
    this->state->companions.stop();
    this->state->background.stop();
}

grpc::Service& traffic_server::requests_service()
{
    return this->state->companion_side;
}

} // namespace lagoonladder::daemon
