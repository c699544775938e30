#ifndef LAGOONLADDER_COMPLETION_TRAFFIC_HARNESS_HPP
#define LAGOONLADDER_COMPLETION_TRAFFIC_HARNESS_HPP

#include <algorithm>
#include <atomic>
#include <mutex>
#include <set>
#include <thread>

#include <grpcpp/grpcpp.h>
#include <httplib.h>

#include <event_stream_parser.hpp>
#include <lagoonladder/completion/traffic_context.hpp>
#include <lagoonladder/completion/traffic_server.hpp>

#include "memory_cluster.hpp"
#include "test_engine.hpp"

namespace lagoonladder::completion
{

/// Records the events of all servers of a test.
class recorded_events : public event_sink
{
public:
    void emit(severity, std::string name, std::vector<event_field> fields) override;
    int count(std::string const& name) const;
    /// Value of the field of the first such event that has it; empty if there is none.
    std::string field(std::string const& name, std::string const& key) const;
    bool contains_text(std::string const& text) const;

private:
    mutable std::mutex mutex;
    std::vector<event> events;
};

/// Control plane of one entry that works on the shared memory_cluster.
class memory_control_plane : public control_plane
{
public:
    memory_control_plane(memory_cluster& shared_cluster, vm_id own_vm)
        : cluster(shared_cluster)
        , self(std::move(own_vm))
    {
    }
    std::shared_ptr<control::control_view const> view() const override;
    void propose(version::command_body body, duration, proposal_handler done) override;
    void find_once(request::at_most_once_key const& key, duration, find_handler done) override;
    void announce(connection::endpoint_record record, acknowledgement_handler done) override
    {
        this->cluster.add(record);
        done(true);
    }
    void remove_endpoint(endpoint_id const& id, acknowledgement_handler done) override;
    void record_traffic(version::traffic_sample const& sample) override;
    void set_leaving(vm_id const& vm) override;
    void set_open_requests(std::uint32_t) override {}

    std::vector<version::traffic_sample> samples() const;

private:
    /// Returns the directory that the control thread of the entry would publish.
    std::shared_ptr<connection::entry_directory const>
    make_directory(control_view const& view) const;

    memory_cluster& cluster;
    vm_id const self;
    mutable std::mutex mutex;
    std::vector<version::traffic_sample> recorded_samples;
    /// Handlers of commands that receive no reply.
    std::vector<proposal_handler> unanswered_handlers;
};

/// An entry with a traffic server and a gRPC server, on ports that the kernel chooses.
class test_entry
{
public:
    test_entry(memory_cluster& shared_cluster, recorded_events& events, std::string const& name,
               std::string const& data_centre);
    ~test_entry();

    httplib::Client client() const;
    /// Removes this entry from the directory and stops its gRPC server.
    void crash();

    memory_cluster& cluster;
    settings config;
    system_clock time;
    observability::metrics metrics;
    memory_control_plane control;
    std::unique_ptr<traffic_server> server;
    std::unique_ptr<grpc::Server> rpc;
};

/// A streamed response as the caller received it.
struct received_stream
{
    int status = 0;
    std::string text;
    /// Event ids, which are the offsets of the tokens.
    std::vector<std::uint64_t> ids;
    /// Whether the end marker "[DONE]" was received.
    bool is_done = false;
    std::string request_id;
    /// Body of a response with another status than 200.
    nlohmann::json refusal;
};

/// Text of the tokens from offset `first` up to but excluding `count`.
std::string expected_text(std::uint64_t first, std::uint64_t count);
/// Sends a chat completion, with the key of account council unless `headers` have another one, and
/// reads the response to its end.
received_stream read_completion(test_entry const& entry, nlohmann::json const& body,
                                httplib::Headers headers = {});
/// Reads the tokens of an accepted request from `offset` on.
received_stream read_request(test_entry const& entry, std::string const& id, std::uint64_t offset);
nlohmann::json chat_body();
httplib::Headers key_header(std::string const& key = "key-1");

/// Waits up to 5 s until the condition is true; returns whether it is.
bool eventually(std::function<bool()> const& condition);

} // namespace lagoonladder::completion

#endif
