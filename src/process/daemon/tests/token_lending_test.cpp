#include <atomic>
#include <thread>

#include <catch2/catch.hpp>
#include <control.grpc.pb.h>

#include "token_lending.hpp"

using namespace lagoonladder;
using namespace lagoonladder::daemon;

namespace
{

/// Another entry that is asked for tokens.
class lender : public protocol::Quotas::Service
{
public:
    lender(lagoonladder::duration before_answer, double has_tokens, bool holds)
        : wait(before_answer)
        , tokens(has_tokens)
        , is_holder(holds)
    {
        grpc::ServerBuilder builder;
        int port = 0;
        builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
        builder.RegisterService(this);
        this->server = builder.BuildAndStart();
        this->address = network_address("127.0.0.1:" + std::to_string(port));
    }

    ~lender() override { this->server->Shutdown(); }

    grpc::Status Lend(grpc::ServerContext*, protocol::LendRequest const* request,
                      protocol::LendReply* reply) override
    {
        ++this->calls;
        std::this_thread::sleep_for(this->wait);
        reply->set_tokens(request->tokens() <= this->tokens ? request->tokens() : 0);
        reply->set_is_holder(this->is_holder);
        return grpc::Status::OK;
    }

    network_address address;
    std::atomic<int> calls = 0;

private:
    lagoonladder::duration wait;
    double tokens;
    bool is_holder;
    std::unique_ptr<grpc::Server> server;
};

class borrower
{
public:
    request::lending_outcome ask(std::vector<network_address> const& keepers)
    {
        std::optional<request::lending_outcome> result;
        this->lending.ask_keepers(account_id("t"), keepers, 100, seconds(5),
                                  [&](request::lending_outcome const& outcome)
                                  { result = outcome; });
        auto const begun = std::chrono::steady_clock::now();
        while (!result && std::chrono::steady_clock::now() < begun + seconds(5))
            this->context->run_one_for(milliseconds(100));
        REQUIRE(result);
        return *result;
    }

    std::shared_ptr<asio::io_context> context = std::make_shared<asio::io_context>();
    asio::executor_work_guard<asio::io_context::executor_type> work{this->context->get_executor()};
    control::peer_channels peers{"secret"};
    system_clock time;
    double late = 0;
    token_lending lending{this->context, this->peers, this->time, 1,
                          [this](account_id const&, double tokens) { this->late += tokens; }};
};

} // namespace

TEST_CASE("a silent keeper does not keep a call from the tokens of another")
{
    // Guards against refusals below the quota: two messages without an answer for 60 ms
    // each refused the call.
    lender silent(milliseconds(700), 100, true);
    lender other_silent(milliseconds(700), 100, true);
    lender third(milliseconds(0), 100, true);
    borrower entry;
    for (int i = 0; i < 6; ++i)
    {
        auto const outcome = entry.ask({silent.address, other_silent.address, third.address});
        CHECK(outcome.lent == 100);
    }
    // Silent keepers are asked last afterwards.
    CHECK(silent.calls + other_silent.calls <= 4);
}

TEST_CASE("an entry that holds no tokens does not refuse")
{
    lender without(milliseconds(0), 0, false);
    borrower entry;
    CHECK_FALSE(entry.ask({without.address}).refused);
    lender other(milliseconds(0), 100, true);
    for (int i = 0; i < 4; ++i)
        CHECK(entry.ask({without.address, other.address}).lent == 100);
}

TEST_CASE("two keepers without tokens refuse and keepers out of reach do not")
{
    lender first(milliseconds(0), 0, true);
    lender second(milliseconds(0), 0, true);
    borrower entry;
    CHECK(entry.ask({first.address, second.address}).refused);
    CHECK_FALSE(entry.ask({network_address("127.0.0.1:1")}).refused);
}

TEST_CASE("tokens that come after their call reach the entry")
{
    lender slow(milliseconds(150), 100, true);
    lender other(milliseconds(0), 100, true);
    borrower entry;
    double lent = 0;
    for (int i = 0; i < 8 && slow.calls == 0; ++i)
        lent += entry.ask({slow.address, other.address}).lent;
    REQUIRE(slow.calls == 1);
    CHECK(lent >= 100);
    entry.context->run_for(milliseconds(300));
    CHECK(entry.late == 100);
}

TEST_CASE("connections to keepers are open before the first call")
{
    lender keeper(milliseconds(0), 100, true);
    borrower entry;
    entry.lending.expect({keeper.address});
    entry.lending.connect();
    auto const channel = entry.peers.channel(keeper.address);
    CHECK(channel->WaitForConnected(std::chrono::system_clock::now() + seconds(3)));
}
