#include <lagoonladder/daemon/run.hpp>

#include <malloc.h>
#include <signal.h>

#include <random>

#include <grpcpp/grpcpp.h>

#include <lagoonladder/completion.hpp>
#include <lagoonladder/config.hpp>
#include <lagoonladder/control.hpp>

#include "operator_api.hpp"
#include "pass_through_plane.hpp"
#include "quota_service.hpp"

namespace lagoonladder::daemon
{

namespace
{

constexpr duration housekeeping_interval = milliseconds(250);
constexpr duration settings_check_interval = seconds(1);
constexpr int max_grpc_message_bytes = 16 * 1024 * 1024;

enum class daemon_signal
{
    none,
    reload,
    stop
};

/// Blocks the signals that the daemon handles and waits for them. Must be created before any
/// thread, since threads inherit the set of blocked signals.
class process_signals
{
public:
    process_signals()
    {
        sigemptyset(&this->handled_signals);
        sigaddset(&this->handled_signals, SIGTERM);
        sigaddset(&this->handled_signals, SIGINT);
        sigaddset(&this->handled_signals, SIGHUP);
        pthread_sigmask(SIG_BLOCK, &this->handled_signals, nullptr);
        signal(SIGPIPE, SIG_IGN);
    }

    /// Returns the signal that arrived before the timeout, if any.
    daemon_signal wait(duration timeout)
    {
        timespec const timeout_spec{timeout.count() / 1'000'000,
                                    timeout.count() % 1'000'000 * 1000};
        auto const signal_number = sigtimedwait(&this->handled_signals, nullptr, &timeout_spec);
        if (signal_number <= 0)
            return daemon_signal::none;
        return signal_number == SIGHUP ? daemon_signal::reload : daemon_signal::stop;
    }

private:
    sigset_t handled_signals{};
};

/// Reserved at the end of the drain timeout for the shutdown of all servers.
constexpr duration shutdown_time = milliseconds(700);
/// Reserved before shutdown_time for the responses to calls that are still open. Calls that wait
/// for quota tokens get their response within 400 ms.
constexpr duration final_responses_time = milliseconds(450);
/// After this time the shutdown no longer waits for connections without open requests. Calls of
/// operators and endpoints get a response within a second, and callers have a second to close their
/// end of a connection.
constexpr duration connection_close_timeout = seconds(2);
constexpr duration drain_check_interval = milliseconds(50);

/// Makes the allocator give large blocks back to the system when they are freed. By default, glibc
/// keeps them from the first release on, so that a process stays as large as it ever was.
void return_large_blocks()
{
#ifdef __GLIBC__
    constexpr int threshold_bytes = 256 * 1024;
    mallopt(M_MMAP_THRESHOLD, threshold_bytes);
#endif
}

std::uint64_t random_seed()
{
    std::random_device device;
    return (std::uint64_t(device()) << 32) | device();
}

/// Keeps the log running for its lifetime.
class log_session
{
public:
    log_session() { observability::start_log(); }
    ~log_session() { observability::stop_log(); }
    log_session(log_session const&) = delete;
    log_session& operator=(log_session const&) = delete;
};

/// Owns all components of the daemon, and starts and stops them in order.
class daemon_process
{
public:
    daemon_process(std::string const& settings_path, config::settings const& config)
        : options(config)
        , timeline(config.vm, this->time, config.log_level)
        , watcher(settings_path, config, this->timeline)
        , random(random_seed())
        , peers(config.cluster_token)
        , request_memory(std::make_shared<http::request_memory>(config.max_request_memory))
        , store(config.data_folder.empty()
                    ? nullptr
                    : std::make_unique<storage::file_log_store>(config.data_folder))
        , control(control::make_control_loop(this->make_dependencies()))
        , operators(config, *this->control, this->timeline, this->peers)
        , traffic(config, *this->control, this->timeline, this->metrics, this->time,
                  this->random.next(), {&this->operators}, this->request_memory)
        , pass_through(config.pass_through.callers.value().empty()
                           ? nullptr
                           : std::make_unique<pass_through_plane>(
                                 config, *this->control, this->peers, this->timeline, this->metrics,
                                 this->time, this->random.next(), this->request_memory))
        , control_services(this->control->make_services())
        , quota_lender(this->pass_through.get(), config)
    {
        this->operators.set_explainer(this->pass_through.get());
        set_invariant_handler(
            [this](std::string const& message) {
                this->timeline.emit(severity::error, "invariant.violated", {{"message", message}});
            });
    }

    ~daemon_process() { set_invariant_handler({}); }

    daemon_process(daemon_process const&) = delete;
    daemon_process& operator=(daemon_process const&) = delete;

    void start()
    {
        this->start_grpc();
        this->control->start();
        this->traffic.start();
        if (this->pass_through)
            this->pass_through->start();
        this->timeline.emit(
            severity::info, "daemon.started",
            {{"http", this->options.http.value()}, {"control", this->options.control.value()}});
    }

    int run(process_signals& signals)
    {
        auto next_check = this->time.now() + settings_check_interval;
        for (auto signal = signals.wait(housekeeping_interval); signal != daemon_signal::stop;
             signal = signals.wait(housekeeping_interval))
        {
            bool const is_requested = signal == daemon_signal::reload;
            if (is_requested || this->time.now() >= next_check)
            {
                next_check = this->time.now() + settings_check_interval;
                this->reload(is_requested);
            }
            this->control->set_open_requests(this->open_requests());
            this->metrics.set("request_memory_bytes", {},
                              static_cast<double>(this->request_memory->used()));
        }
        return this->drain(signals);
    }

    void stop()
    {
        if (this->pass_through)
            this->pass_through->stop();
        this->traffic.stop();
        this->grpc_server->Shutdown(std::chrono::system_clock::now() + seconds(1));
        this->control->stop();
        this->timeline.emit(severity::info, "daemon.stopped", {});
    }

private:
    control::control_dependencies make_dependencies()
    {
        consensus::voter_id voter;
        if (this->store)
            voter = this->store->open_voter_id(this->options.vm, this->random);
        return {this->options, this->timeline,    this->metrics, this->time,
                this->peers,   this->store.get(), voter,         this->random.next()};
    }

    void start_grpc()
    {
        grpc::ServerBuilder builder;
        int port = 0;
        builder.AddListeningPort(this->options.control.value(), grpc::InsecureServerCredentials(),
                                 &port);
        // With SO_REUSEPORT a second daemon could listen on the same port, and each would get a
        // fraction of the calls.
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, 1000);
        builder.SetMaxReceiveMessageSize(max_grpc_message_bytes);
        for (auto const& service : this->control_services)
            builder.RegisterService(service.get());
        builder.RegisterService(&this->quota_lender);
        builder.RegisterService(&this->traffic.requests_service());
        this->grpc_server = builder.BuildAndStart();
        if (!this->grpc_server || port == 0)
            throw daemon_error("cannot listen on " + this->options.control.value() +
                               " for control calls; is the port in use?");
    }

    /// Reloads changed settings. Only the seeds take effect at once; all other settings do at the
    /// next start.
    void reload(bool is_requested)
    {
        if (auto const changed = this->watcher.poll(is_requested))
            this->control->set_seeds(changed->seeds);
    }

    int drain(process_signals& signals)
    {
        this->timeline.emit(severity::info, "daemon.draining",
                            {{"open_requests", std::to_string(this->open_requests())}});
        this->traffic.drain();
        if (this->pass_through)
            this->pass_through->drain();
        auto const drain_start = this->time.now();
        auto const response_deadline =
            drain_start + this->options.drain_timeout - shutdown_time - final_responses_time;
        // Callers use the address of this entry until the list that they fetched from /v1/entries
        // expires.
        auto const addresses_expire =
            std::min(response_deadline, drain_start + this->options.entry_list_max_age);
        bool may_wait = this->wait_until(signals, addresses_expire, [] { return false; });
        if (this->pass_through)
            this->pass_through->refuse_calls();
        if (may_wait)
            may_wait = this->wait_until(signals, response_deadline,
                                        [this] { return this->has_answered_calls(); });
        // The call count is sampled at intervals and may include calls that have ended since.
        auto const open_count = this->has_answered_calls() ? 0 : this->open_requests();
        this->timeline.emit(open_count == 0 ? severity::info : severity::error,
                            open_count == 0 ? "daemon.drained" : "daemon.drain_incomplete",
                            {{"open_requests", std::to_string(open_count)}});
        this->close_connections(signals, may_wait ? response_deadline : drain_start);
        return open_count == 0 ? 0 : 1;
    }

    /// Responds to the calls that are still open and closes all connections, at the latest
    /// final_responses_time after `response_deadline` or, when that has passed, after now.
    void close_connections(process_signals& signals, time_point response_deadline)
    {
        if (this->pass_through)
        {
            if (!this->pass_through->has_answered_calls())
                this->pass_through->end_calls();
            this->pass_through->close_control();
        }
        this->traffic.close_connections();
        auto const now = this->time.now();
        auto const connection_close_deadline = now + connection_close_timeout;
        auto const final_deadline = std::max(now, response_deadline) + final_responses_time;
        this->wait_until(signals, final_deadline,
                         [this, connection_close_deadline]
                         {
                             // A completion may have arrived since the previous check.
                             if (this->time.now() >= connection_close_deadline &&
                                 this->open_requests() == 0)
                                 return true;
                             return this->traffic.has_closed_connections() &&
                                    (!this->pass_through || this->pass_through->is_closed());
                         });
    }

    /// Waits until `end` or until the condition holds. Returns false when a second stop signal
    /// arrives.
    template <class Condition>
    bool wait_until(process_signals& signals, time_point end, Condition const& condition)
    {
        while (this->time.now() < end && !condition())
        {
            if (signals.wait(drain_check_interval) == daemon_signal::stop)
                return false;
            this->control->set_open_requests(this->open_requests());
        }
        return true;
    }

    bool has_answered_calls() const
    {
        return this->traffic.open_requests() == 0 &&
               (!this->pass_through || this->pass_through->has_answered_calls());
    }

    std::uint32_t open_requests() const
    {
        auto const pass_through_calls = this->pass_through ? this->pass_through->open_calls() : 0;
        return this->traffic.open_requests() + static_cast<std::uint32_t>(pass_through_calls);
    }

    config::settings const& options;
    system_clock time;
    observability::event_timeline timeline;
    observability::metrics metrics;
    config::settings_watcher watcher;
    seeded_random random;
    control::peer_channels peers;
    std::shared_ptr<http::request_memory> request_memory;
    std::unique_ptr<storage::file_log_store> store;
    std::unique_ptr<control::control_loop> control;
    operator_api operators;
    completion::traffic_server traffic;
    std::unique_ptr<pass_through_plane> pass_through;
    std::vector<std::unique_ptr<grpc::Service>> control_services;
    quota_service quota_lender;
    std::unique_ptr<grpc::Server> grpc_server;
};

} // namespace

int run_daemon(std::string const& settings_path)
{
    process_signals signals;
    return_large_blocks();
    auto const config = config::load_settings(settings_path);
    log_session const log;
    daemon_process process(settings_path, config);
    process.start();
    int const code = process.run(signals);
    process.stop();
    return code;
}

} // namespace lagoonladder::daemon
