#ifndef LAGOONLADDER_CONTROL_TESTS_CONTROL_FIXTURE_HPP
#define LAGOONLADDER_CONTROL_TESTS_CONTROL_FIXTURE_HPP

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

#include <grpcpp/grpcpp.h>

#include "blocking_calls.hpp"
#include "control_services.hpp"
#include "control_thread.hpp"
#include "free_port.hpp"

namespace lagoonladder::control
{

/// Configuration files; the second adds a route to the first.
inline std::string const first_text = "[service booking]\nkind = plain\nversion = v1\n";
inline std::string const second_text = first_text +
                                       "[route create]\nservice = booking\nmethod = POST\n"
                                       "path = /bookings\nidempotent = false\n";

/// Log store on a disk that can fill up or stall.
class fillable_store : public storage::memory_log_store
{
public:
    fillable_store() = default;

    using log_store::save;

    void save(std::optional<consensus::hard_state> const& state,
              std::vector<consensus::log_entry> const& entries, bool must_sync) override
    {
        this->require_space();
        this->wait_while_stalled();
        this->storage::memory_log_store::save(state, entries, must_sync);
    }

    void save_snapshot(consensus::snapshot const& state) override
    {
        this->require_space();
        this->storage::memory_log_store::save_snapshot(state);
    }

    std::atomic<bool> is_full = false;
    /// No write ends before this is false again.
    std::atomic<bool> is_stalled = false;

private:
    void wait_while_stalled() const
    {
        while (this->is_stalled)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }

    void require_space() const
    {
        if (this->is_full)
            throw storage::storage_error("no space left");
    }
};

/// Number of successful calls by the offset of the content part that they carried.
using part_calls = std::map<std::uint64_t, int>;

/// Counts calls, fails those with content parts once their limit is used up, and damages replies.
class counting_control_service : public control_service
{
public:
    using control_service::control_service;

    grpc::Status Report(grpc::ServerContext* context, protocol::ReportRequest const* request,
                        protocol::ReportReply* reply) override
    {
        ++this->reports;
        return control_service::Report(context, request, reply);
    }

    grpc::Status ReadState(grpc::ServerContext* context, protocol::ReadStateRequest const* request,
                           protocol::ReadStateReply* reply) override
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(this->read_delay_ms));
        return control_service::ReadState(context, request, reply);
    }

    grpc::Status Propose(grpc::ServerContext* context, protocol::ProposeRequest const* request,
                         protocol::ProposeReply* reply) override
    {
        auto const command = version::decode_command(request->command());
        if (this->is_stalled_order(command))
        {
            reply->set_status(protocol::ProposeReply::UNKNOWN);
            return grpc::Status::OK;
        }
        auto const* store_command = std::get_if<version::store_content_part>(&command.body);
        if (store_command == nullptr)
        {
            auto const status = control_service::Propose(context, request, reply);
            if (this->damages_replies)
                reply->set_result("damaged");
            return status;
        }
        if (--this->remaining_uploads < 0)
        {
            this->count(this->refused_parts, store_command->part.offset);
            return {grpc::StatusCode::UNAVAILABLE, "stopped by the test"};
        }
        auto const status = control_service::Propose(context, request, reply);
        if (reply->status() == protocol::ProposeReply::COMMITTED)
            this->count(this->stored_parts, store_command->part.offset);
        else if (reply->status() == protocol::ProposeReply::UNKNOWN)
            this->count(this->unconfirmed_parts, store_command->part.offset);
        return status;
    }

    grpc::Status ReadContent(grpc::ServerContext* context,
                             protocol::ReadContentRequest const* request,
                             protocol::ReadContentReply* reply) override
    {
        if (--this->remaining_fetches < 0)
            return {grpc::StatusCode::UNAVAILABLE, "stopped by the test"};
        auto const status = control_service::ReadContent(context, request, reply);
        if (reply->found())
            this->count(this->fetched_parts, request->offset());
        return status;
    }

    grpc::Status FindOnce(grpc::ServerContext* context, protocol::FindOnceRequest const* request,
                          protocol::FindOnceReply* reply) override
    {
        auto const status = control_service::FindOnce(context, request, reply);
        if (this->damages_replies)
            reply->set_reply("damaged");
        return status;
    }

    part_calls stored() const { return this->copy(this->stored_parts); }
    /// Calls that timed out; the part may have been committed nevertheless.
    part_calls unconfirmed() const { return this->copy(this->unconfirmed_parts); }
    part_calls refused() const { return this->copy(this->refused_parts); }
    part_calls fetched() const { return this->copy(this->fetched_parts); }

    std::atomic<int> reports = 0;
    /// Time until a read of the state begins, in milliseconds.
    std::atomic<int> read_delay_ms = 0;
    /// Content parts that may still be stored or fetched through this daemon.
    std::atomic<int> remaining_uploads = 1'000'000;
    std::atomic<int> remaining_fetches = 1'000'000;
    /// The replies to proposals and lookups carry bytes that cannot be decoded.
    std::atomic<bool> damages_replies = false;
    /// Orders on evacuations are kept in `stalled` in place of being proposed.
    std::atomic<bool> stalls_orders = false;

    std::vector<version::set_evacuation> stalled() const
    {
        std::lock_guard const lock(this->mutex);
        return this->stalled_orders;
    }

private:
    bool is_stalled_order(version::command const& command)
    {
        auto const* order = std::get_if<version::set_evacuation>(&command.body);
        if (order == nullptr || !this->stalls_orders)
            return false;
        std::lock_guard const lock(this->mutex);
        this->stalled_orders.push_back(*order);
        return true;
    }

    void count(part_calls& calls, std::uint64_t offset)
    {
        std::lock_guard const lock(this->mutex);
        ++calls[offset];
    }

    part_calls copy(part_calls const& calls) const
    {
        std::lock_guard const lock(this->mutex);
        return calls;
    }

    mutable std::mutex mutex;
    part_calls stored_parts;
    part_calls unconfirmed_parts;
    part_calls refused_parts;
    part_calls fetched_parts;
    std::vector<version::set_evacuation> stalled_orders;
};

/// Can lose all messages of the log that the other voters send.
class lossy_consensus_service : public consensus_service
{
public:
    using consensus_service::consensus_service;

    grpc::Status Step(grpc::ServerContext* context, protocol::StepRequest const* request,
                      protocol::StepReply* reply) override
    {
        return this->loses_messages ? grpc::Status::OK
                                    : consensus_service::Step(context, request, reply);
    }

    std::atomic<bool> loses_messages = false;
};

/// Control plane of one daemon; daemons communicate over real sockets.
class control_process
{
public:
    /// Listens at `listen`, if given, when others reach the daemon through a relay.
    control_process(config::settings const& config, storage::log_store* store,
                    std::string const& voter, network_address const& listen = {})
        : options(config)
        , events(config.vm, this->time, severity::error)
        , peers(config.cluster_token)
        , loop({this->options, this->events, this->metrics, this->time, this->peers, store,
                consensus::voter_id(voter), stable_hash(voter + config.vm.value())})
        , consensus_calls(this->loop, this->options)
        , control_calls(this->loop, this->options, this->time)
        , directory_calls(this->loop, this->options)
    {
        grpc::ServerBuilder builder;
        auto const& listen_address = listen.value().empty() ? config.control : listen;
        builder.AddListeningPort(listen_address.value(), grpc::InsecureServerCredentials());
        builder.RegisterService(&this->consensus_calls);
        builder.RegisterService(&this->control_calls);
        builder.RegisterService(&this->directory_calls);
        this->server = builder.BuildAndStart();
        this->loop.start();
    }

    ~control_process()
    {
        this->server->Shutdown(std::chrono::system_clock::now());
        this->loop.stop();
    }

    config::settings const options;
    system_clock time;
    observability::metrics metrics;
    observability::event_timeline events;
    peer_channels peers;
    control_thread loop;
    lossy_consensus_service consensus_calls;
    counting_control_service control_calls;
    directory_service directory_calls;
    std::unique_ptr<grpc::Server> server;
};

/// Three or four voters, and after them one daemon without a disk.
class small_system
{
public:
    static constexpr std::size_t max_voters = 4;

    explicit small_system(duration poll_interval = milliseconds(100),
                          std::uint64_t snapshot_after = 10'000, std::size_t voter_count = 3)
        : state_poll_interval(poll_interval)
        , snapshot_after_entries(snapshot_after)
        , voters(voter_count)
    {
        for (std::size_t i = 0; i <= this->voters; ++i)
            this->addresses.push_back(free_address());
        this->seeds = {this->addresses[0], this->addresses[1], this->addresses[2]};
        this->processes.resize(this->voters + 1);
        for (std::size_t i = 0; i <= this->voters; ++i)
            this->start(i);
    }

    config::settings make_settings(std::size_t index) const
    {
        config::settings config;
        config.vm = vm_id("entry-" + std::to_string(index));
        config.data_centre = data_centre_id("dc-" + std::to_string(index));
        config.zone = zone_id("zone-" + std::to_string(index));
        config.http = network_address("127.0.0.1:1");
        config.control = this->addresses[index];
        config.seeds = this->seeds;
        config.cluster_token = "secret";
        config.election_timeout = milliseconds(400);
        config.gossip_interval = milliseconds(200);
        config.state_poll_interval = this->state_poll_interval;
        config.snapshot_after_entries = this->snapshot_after_entries;
        if (index < this->voters)
        {
            config.data_folder = "in memory";
            for (std::size_t i = 0; i < this->voters; ++i)
                config.initial_voters.push_back(
                    {vm_id("entry-" + std::to_string(i)), this->addresses[i]});
        }
        return config;
    }

    void start(std::size_t index)
    {
        auto const voter =
            "entry-" + std::to_string(index) + "#" + std::to_string(this->incarnations[index]);
        this->processes[index] = std::make_unique<control_process>(
            this->make_settings(index), index < this->voters ? &this->stores[index] : nullptr,
            voter);
    }

    void stop(std::size_t index) { this->processes[index].reset(); }

    /// Empties the disk of a stopped voter, which starts as a new incarnation.
    void lose_disk(std::size_t index)
    {
        static_cast<storage::memory_log_store&>(this->stores[index]) = storage::memory_log_store();
        ++this->incarnations[index];
    }

    control_thread& loop(std::size_t index) { return this->processes[index]->loop; }

    counting_control_service& calls(std::size_t index)
    {
        return this->processes[index]->control_calls;
    }

    /// Lets the voter lose all messages of the log, while others can read its state and it can read
    /// theirs.
    void cut_off_log(std::size_t index, bool is_cut)
    {
        this->processes[index]->consensus_calls.loses_messages = is_cut;
    }

    /// Keeps the control thread from running for this time; what the others send meanwhile is read
    /// afterwards, as by a process that was frozen.
    void freeze(std::size_t index, std::chrono::milliseconds span)
    {
        this->loop(index).post([span] { std::this_thread::sleep_for(span); });
    }

    /// Index of the leader, as the daemon at `index` knows it; the number of daemons when there is
    /// none.
    std::size_t leader(std::size_t index)
    {
        auto const leader_address = network_address(this->loop(index).view()->leader);
        auto const found =
            std::find(this->addresses.begin(), this->addresses.end(), leader_address);
        return static_cast<std::size_t>(found - this->addresses.begin());
    }

    /// Number of reports received by all daemons.
    int reports() const
    {
        int sum = 0;
        for (auto const& process : this->processes)
            sum += process ? process->control_calls.reports.load() : 0;
        return sum;
    }

    version::apply_result apply(std::size_t index, std::uint64_t base, std::string const& text,
                                std::string const& operation)
    {
        version::apply_configuration const command{generation(base), "test.ini", text,
                                                   operation_id(operation)};
        return std::get<version::apply_result>(
            commit_and_wait(this->loop(index), command, seconds(10)));
    }

    duration const state_poll_interval;
    std::uint64_t const snapshot_after_entries;
    std::size_t const voters;
    std::vector<network_address> addresses;
    /// Seeds of the daemons that are started from now on.
    std::vector<network_address> seeds;
    fillable_store stores[max_voters];
    std::uint64_t incarnations[max_voters + 1] = {1, 1, 1, 1, 1};
    std::vector<std::unique_ptr<control_process>> processes;
};

/// Waits until the condition holds. Returns whether it did within the limit.
template <class Condition>
bool eventually(Condition condition, std::chrono::seconds limit = std::chrono::seconds(15))
{
    auto const end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end)
    {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return condition();
}

inline bool is_in_force(control_thread& loop, std::uint64_t number)
{
    auto const view = loop.view();
    return view->ready && view->shared->generation == generation(number);
}

/// Whether the traffic thread counts the configuration as outdated.
inline bool is_outdated(proxy::traffic_view const& view)
{
    return proxy::is_configuration_outdated(system_clock().now(), view);
}

inline request::at_most_once_begin begin_booking(std::string const& attempt, wall_time now)
{
    return {{account_id("a"), service_name("booking"), idempotency_key("k")},
            "digest",
            attempt_id(attempt),
            now,
            now + seconds(30)};
}

} // namespace lagoonladder::control

#endif
