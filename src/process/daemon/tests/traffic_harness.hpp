#ifndef LAGOONLADDER_DAEMON_TRAFFIC_HARNESS_HPP
#define LAGOONLADDER_DAEMON_TRAFFIC_HARNESS_HPP

#include <algorithm>
#include <atomic>
#include <mutex>
#include <set>
#include <thread>

#include <grpcpp/grpcpp.h>
#include <httplib.h>

#include <event_stream_parser.hpp>
#include <traffic_server.hpp>

namespace lagoonladder::daemon
{

/// Events of all servers of a test.
class recorded_events : public event_sink
{
public:
    void emit(severity, std::string name, std::vector<event_field> fields) override;
    int count(std::string const& name) const;
    std::string field(std::string const& name, std::string const& key) const;
    bool contains_text(std::string const& text) const;

private:
    mutable std::mutex mutex;
    std::vector<event> events;
};

/// Control state and directories that all entries of a test share.
struct memory_cluster
{
    memory_cluster();
    void apply_configuration(std::string const& text);
    void add(connection::endpoint_record const& record);
    void set_leaving(endpoint_id const& id);
    version::command_result commit(version::command_body body);

    std::mutex mutex;
    version::control_state state;
    std::uint64_t index = 0;
    std::map<endpoint_id, connection::endpoint_record> endpoints;
    std::map<vm_id, connection::entry_record> entries;
    std::set<vm_id> leaving;
    std::atomic<bool> has_quorum = true;
    /// The next command is committed and its reply lost.
    std::atomic<bool> loses_next_reply = false;
    std::atomic<bool> is_ready = true;
    system_clock time;
};

class memory_control_plane : public control_plane
{
public:
    memory_control_plane(memory_cluster& shared, vm_id own)
        : cluster(shared)
        , self(std::move(own))
    {
    }
    std::shared_ptr<control_view const> view() const override;
    version::command_result propose(version::command_body body, duration) override;
    std::optional<request::once_reply> find_once(request::once_key const& key, duration) override;
    void announce(connection::endpoint_record record) override { this->cluster.add(record); }
    void remove_endpoint(endpoint_id const& id) override;
    void record_traffic(version::traffic_sample const& sample) override;
    void set_leaving(vm_id const& vm) override;
    void set_open_requests(std::uint32_t) override {}

    std::vector<version::traffic_sample> samples() const;

private:
    memory_cluster& cluster;
    vm_id const self;
    mutable std::mutex mutex;
    std::vector<version::traffic_sample> recorded;
};

/// One entry: traffic server and gRPC server on ports of the kernel's choice.
class test_entry
{
public:
    test_entry(memory_cluster& shared, recorded_events& events, std::string const& name,
               std::string const& data_centre);
    ~test_entry();

    httplib::Client client() const;
    /// Vanishes from the directory and stops answering other entries.
    void die();

    memory_cluster& cluster;
    settings config;
    system_clock time;
    observability::metrics metrics;
    memory_control_plane control;
    std::unique_ptr<traffic_server> server;
    std::unique_ptr<grpc::Server> rpc;
};

/// HTTP server of an endpoint.
class test_endpoint
{
public:
    test_endpoint(memory_cluster& cluster, std::string const& id, std::string const& service,
                  std::string const& version = "v1");
    ~test_endpoint();
    void start();
    void stop();
    /// Refuses connections from now on.
    connection::endpoint_record record;
    httplib::Server server;

protected:
    memory_cluster& shared;
    std::thread acceptor;
};

/// Model engine whose token N is "tN ".
class test_engine : public test_endpoint
{
public:
    test_engine(memory_cluster& cluster, std::string const& id, std::string const& version = "v1");

    std::uint64_t total = 20;
    std::atomic<int> token_delay_us = 1000;
    /// The attempt's connection breaks, or goes silent, at this offset.
    std::atomic<std::uint64_t> break_at = UINT64_MAX;
    std::atomic<std::uint64_t> silent_at = UINT64_MAX;
    /// Tokens are left out or repeated at this offset.
    std::atomic<std::uint64_t> skip_at = UINT64_MAX;
    std::atomic<std::uint64_t> repeat_at = UINT64_MAX;
    std::atomic<int> status = 200;
    std::atomic<bool> has_kv = false;
    std::atomic<int> attempts = 0;
    std::atomic<int> imports = 0;
    std::atomic<bool> is_closing = false;

    std::vector<nlohmann::json> bodies() const;
    ~test_engine();

private:
    void install();
    void complete(httplib::Request const& request, httplib::Response& response);
    bool write(httplib::DataSink& sink, std::uint64_t offset);

    mutable std::mutex mutex;
    std::vector<nlohmann::json> received;
};

/// What a caller saw of a streamed answer.
struct seen_stream
{
    int status = 0;
    std::string text;
    std::vector<std::uint64_t> ids;
    bool is_done = false;
    std::string request_id;
    nlohmann::json refusal;
};

/// "t0 t1 ... " of `count` tokens from `first` on.
std::string expected_text(std::uint64_t first, std::uint64_t count);
seen_stream read_completion(test_entry const& entry, nlohmann::json const& body,
                            httplib::Headers headers = {});
seen_stream read_request(test_entry const& entry, std::string const& id, std::uint64_t offset);
nlohmann::json chat_body();
httplib::Headers key_header(std::string const& key = "key-1");

/// Waits up to 5 s.
bool eventually(std::function<bool()> const& condition);

} // namespace lagoonladder::daemon

#endif
