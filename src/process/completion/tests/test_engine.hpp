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
    memory_cluster& shared;
    std::thread acceptor;
};

/// Model engine that generates the text "tN " as token N.
class test_engine : public test_endpoint
{
public:
    test_engine(memory_cluster& cluster, std::string const& id, std::string const& version = "v1");

    std::uint64_t total = 20;
    std::atomic<int> token_delay_us = 1000;
    /// Offset at which the connection breaks, and at which it goes silent.
    std::atomic<std::uint64_t> break_at = UINT64_MAX;
    std::atomic<std::uint64_t> silent_at = UINT64_MAX;
    /// Offset of a token that is left out, and of one that is sent twice.
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

} // namespace lagoonladder::completion

#endif
