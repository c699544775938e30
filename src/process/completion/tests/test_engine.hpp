#ifndef LAGOONLADDER_COMPLETION_TESTS_TEST_ENGINE_HPP
#define LAGOONLADDER_COMPLETION_TESTS_TEST_ENGINE_HPP

#include <thread>

#include <httplib.h>

#include "memory_cluster.hpp"

namespace lagoonladder::completion
{

/// Endpoint with an HTTP server that is added to the cluster.
class test_endpoint
{
public:
    test_endpoint(memory_cluster& cluster, std::string const& id, std::string const& service,
                  std::string const& version = "v1");
    ~test_endpoint();
    void start();
    /// Stops the server, which refuses connections afterwards.
    void stop();
    connection::endpoint_record record;
    httplib::Server server;

protected:
    memory_cluster& shared_cluster;
    std::thread acceptor;
};

/// Model engine that generates the text "tN " as token N.
class test_engine : public test_endpoint
{
public:
    test_engine(memory_cluster& cluster, std::string const& id, std::string const& version = "v1");

    /// Number of tokens of each complete answer.
    std::uint64_t token_count = 20;
    std::atomic<int> token_delay_us = 1000;
    /// Offset at which the connection breaks, and from which on each token is delayed by 2 s.
    std::atomic<std::uint64_t> break_at = UINT64_MAX;
    std::atomic<std::uint64_t> silent_at = UINT64_MAX;
    /// Offset of a token that is left out, and of one that is sent twice.
    std::atomic<std::uint64_t> skip_at = UINT64_MAX;
    std::atomic<std::uint64_t> repeat_at = UINT64_MAX;
    /// HTTP status of the responses to completions.
    std::atomic<int> status = 200;
    /// Whether the KV cache of an attempt can be exported.
    std::atomic<bool> has_kv = false;
    /// Number of completions that the engine received.
    std::atomic<int> attempts = 0;
    /// Number of KV caches that the engine imported.
    std::atomic<int> imports = 0;
    std::atomic<bool> is_closing = false;

    /// Bodies of the completions received, in their order.
    std::vector<nlohmann::json> bodies() const;
    ~test_engine();

private:
    void register_handlers();
    void complete(httplib::Request const& request, httplib::Response& response);
    bool write_token(httplib::DataSink& sink, std::uint64_t offset);

    mutable std::mutex mutex;
    std::vector<nlohmann::json> received_bodies;
};

} // namespace lagoonladder::completion

#endif
