#include <catch2/catch.hpp>

#include <atomic>

#include <control.grpc.pb.h>
#include <grpcpp/grpcpp.h>

#include "free_port.hpp"
#include "gossip_fixture.hpp"

using namespace lagoonladder;
using namespace lagoonladder::control;

namespace
{

/// Stands for all other daemons: counts the exchanges and knows nothing.
class counting_directory : public protocol::Directory::Service
{
public:
    grpc::Status Exchange(grpc::ServerContext*, protocol::Digest const* sent,
                          protocol::Digest* reply) override
    {
        if (sent->leaving_only())
        {
            ++this->news;
            this->news_bytes += sent->ByteSizeLong();
        }
        reply->set_from("other");
        reply->set_leaving_only(sent->leaving_only());
        return grpc::Status::OK;
    }

    std::atomic<std::size_t> news = 0;
    std::atomic<std::size_t> news_bytes = 0;
};

} // namespace

TEST_CASE("an endpoint that leaves as it becomes known here is told to the others")
{
    // Guards against calls to a leaving endpoint from entries that knew it before, when it
    // tells a daemon that has just started.
    counting_directory others;
    auto const address = free_address();
    grpc::ServerBuilder builder;
    builder.AddListeningPort(address.value(), grpc::InsecureServerCredentials());
    builder.RegisterService(&others);
    auto const server = builder.BuildAndStart();
    directories self("self");
    auto row = entry_of(0);
    row.control = address;
    self.learn_entry(row);
    auto leaving = endpoint_of(0);
    leaving.state = connection::endpoint_state::leaving;
    self.driver.announce(leaving);
    self.context->run_for(milliseconds(500));
    self.driver.stop();
    server->Shutdown(std::chrono::system_clock::now());
    CHECK(others.news >= 1);
}

TEST_CASE("a daemon gathers the marks of a reclaimed zone")
{
    // Guards against one round of messages for each mark: with 86 daemons and the marks of
    // a zone these calls took the processor time of the consensus, which lost its leader.
    counting_directory others;
    auto const address = free_address();
    grpc::ServerBuilder builder;
    builder.AddListeningPort(address.value(), grpc::InsecureServerCredentials());
    builder.RegisterService(&others);
    auto const server = builder.BuildAndStart();

    directories self("self");
    self.learn(0, 60);
    for (std::size_t i = 0; i < 86; ++i)
    {
        auto row = entry_of(i);
        row.control = address;
        self.learn_entry(row);
    }
    self.driver.start();
    for (std::size_t i = 0; i < 60; ++i)
    {
        auto leaving = endpoint_of(i);
        leaving.sequence = 2;
        leaving.state = connection::endpoint_state::leaving;
        self.driver.announce(leaving);
        self.context->run_for(milliseconds(16));
    }
    self.context->run_for(milliseconds(1'500));
    self.driver.stop();
    server->Shutdown(std::chrono::system_clock::now());
    INFO("messages " << others.news << ", bytes " << others.news_bytes);
    // Rounds of 100 ms with 3 messages, for the time of the marks and some rounds after it.
    CHECK(others.news >= 9);
    CHECK(others.news <= 75);
}
