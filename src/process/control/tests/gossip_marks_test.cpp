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

/// Represents all other daemons: counts messages with leaving marks and has no rows.
class counting_directory_service : public protocol::Directory::Service
{
public:
    grpc::Status Exchange(grpc::ServerContext*, protocol::Digest const* sent,
                          protocol::Digest* reply) override
    {
        if (sent->leaving_only())
        {
            ++this->mark_messages;
            this->mark_message_bytes += sent->ByteSizeLong();
        }
        reply->set_from("other");
        reply->set_leaving_only(sent->leaving_only());
        return grpc::Status::OK;
    }

    std::atomic<std::size_t> mark_messages = 0;
    std::atomic<std::size_t> mark_message_bytes = 0;
};

/// Server of counting_directory_service, at one address for all other daemons.
class other_daemons
{
public:
    other_daemons()
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort(this->address.value(), grpc::InsecureServerCredentials());
        builder.RegisterService(&this->service);
        this->server = builder.BuildAndStart();
    }

    ~other_daemons() { this->server->Shutdown(std::chrono::system_clock::now()); }
    other_daemons(other_daemons const&) = delete;
    other_daemons& operator=(other_daemons const&) = delete;

    counting_directory_service service;
    network_address const address = free_address();

private:
    std::unique_ptr<grpc::Server> server;
};

} // namespace

TEST_CASE("an endpoint first announced as leaving is sent to the other entries")
{
    // Guards against calls to a leaving endpoint from entries that list it as serving, when it
    // announces its leaving to a daemon that has just started.
    other_daemons others;
    directories self("self");
    auto row = make_entry(0);
    row.control = others.address;
    self.receive_entry(row);
    auto leaving = make_endpoint(0);
    leaving.state = connection::endpoint_state::leaving;
    self.driver.announce(leaving, [](bool) {});
    self.context->run_for(milliseconds(500));
    self.driver.stop();
    CHECK(others.service.mark_messages >= 1);
}

TEST_CASE("a daemon batches the leaving marks of a reclaimed zone")
{
    // Guards against one round of messages for each leaving mark: with 86 daemons and a reclaimed
    // zone these calls took processor time from consensus, which lost its leader.
    other_daemons others;

    directories self("self");
    self.receive_rows(0, 60);
    for (std::size_t i = 0; i < 86; ++i)
    {
        auto row = make_entry(i);
        row.control = others.address;
        self.receive_entry(row);
    }
    self.driver.start();
    for (std::size_t i = 0; i < 60; ++i)
    {
        auto leaving = make_endpoint(i);
        leaving.sequence = 2;
        leaving.state = connection::endpoint_state::leaving;
        self.driver.announce(leaving, [](bool) {});
        self.context->run_for(milliseconds(16));
    }
    self.context->run_for(milliseconds(1'500));
    self.driver.stop();
    INFO("messages " << others.service.mark_messages << ", bytes "
                     << others.service.mark_message_bytes);
    // A round with 3 messages every 100 ms while marks are announced, and for some rounds after
    // that.
    CHECK(others.service.mark_messages >= 9);
    CHECK(others.service.mark_messages <= 75);
}

TEST_CASE("leaving is acknowledged to an endpoint only after other daemons have the mark")
{
    // Guards against an acknowledged deregistration or drain that is lost with the daemon that
    // acknowledged it: the endpoint does not report it again, and the others go on using it.
    other_daemons others;
    directories self("self");
    self.receive_rows(0, 2);
    for (std::size_t i = 0; i < 5; ++i)
    {
        auto row = make_entry(i);
        row.control = others.address;
        self.receive_entry(row);
    }
    std::vector<std::size_t> holders_when_acknowledged;
    auto const record_holders = [&](bool is_acknowledged)
    {
        CHECK(is_acknowledged);
        holders_when_acknowledged.push_back(others.service.mark_messages);
    };
    self.driver.remove(endpoint_id("endpoint-0"), record_holders);
    auto leaving = make_endpoint(1);
    leaving.sequence = 2;
    leaving.state = connection::endpoint_state::leaving;
    self.driver.announce(leaving, record_holders);
    CHECK(holders_when_acknowledged.empty());
    self.context->run_for(milliseconds(900));
    REQUIRE(holders_when_acknowledged.size() == 2);
    CHECK(holders_when_acknowledged[0] >= 2);
    CHECK(holders_when_acknowledged[1] >= 2);
    // The endpoint may repeat its report, here or at a daemon that has received the mark.
    leaving.sequence = 3;
    self.driver.announce(leaving, record_holders);
    self.driver.remove(endpoint_id("endpoint-0"), record_holders);
    CHECK(holders_when_acknowledged.size() == 4);
    self.driver.stop();
}

TEST_CASE("a daemon that is cut off refuses the leaving of an endpoint within a second")
{
    // Guards against an acknowledgement that no other daemon knows of, and against an endpoint that
    // waits in vain although another daemon could take its report.
    directories self("self");
    self.receive_rows(3, 2);
    std::vector<bool> results;
    self.driver.remove(endpoint_id("endpoint-0"),
                       [&](bool is_acknowledged) { results.push_back(is_acknowledged); });
    self.context->run_for(milliseconds(900));
    CHECK(results == std::vector{false});
    self.driver.stop();
}

TEST_CASE("a daemon that has just started refuses the leaving of an endpoint it does not know")
{
    // Guards against a deregistration that is acknowledged and forgotten because the rows of the
    // endpoints have not arrived yet.
    directories self("self");
    std::vector<bool> results;
    self.driver.remove(endpoint_id("endpoint-0"),
                       [&](bool is_acknowledged) { results.push_back(is_acknowledged); });
    CHECK(results == std::vector{false});
}
