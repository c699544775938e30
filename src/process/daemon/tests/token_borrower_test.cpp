#include <atomic>
#include <thread>

#include <catch2/catch.hpp>
#include <control.grpc.pb.h>

#include "token_borrower.hpp"

using namespace lagoonladder;
using namespace lagoonladder::daemon;

namespace
{

/// Another entry that tokens are borrowed from.
class lender : public protocol::Quotas::Service
{
public:
    lender(lagoonladder::duration reply_delay, double available_tokens, bool is_quota_holder)
        : delay(reply_delay)
        , tokens(available_tokens)
        , is_holder(is_quota_holder)
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
        if (request->tokens() < 0)
        {
            this->returned = -request->tokens();
            return grpc::Status::OK;
        }
        ++this->calls;
        std::this_thread::sleep_for(this->delay);
        reply->set_tokens(request->tokens() <= this->tokens ? request->tokens() : 0);
        reply->set_is_holder(this->is_holder);
        return grpc::Status::OK;
    }

    network_address address;
    std::atomic<int> calls = 0;
    /// Tokens that came back last.
    std::atomic<double> returned = 0;

private:
    lagoonladder::duration delay;
    double tokens;
    bool is_holder;
    std::unique_ptr<grpc::Server> server;
};

class borrowing_entry
{
public:
    request::lending_outcome borrow(std::vector<network_address> const& quota_holders)
    {
        std::optional<request::lending_outcome> result;
        this->borrower.request_from_quota_holders(account_id("t"), quota_holders, 100, seconds(5),
                                                  [&](request::lending_outcome const& outcome)
                                                  { result = outcome; });
        auto const start = std::chrono::steady_clock::now();
        while (!result && std::chrono::steady_clock::now() < start + seconds(5))
            this->context->run_one_for(milliseconds(100));
        REQUIRE(result);
        return *result;
    }

    std::shared_ptr<asio::io_context> context = std::make_shared<asio::io_context>();
    asio::executor_work_guard<asio::io_context::executor_type> work{this->context->get_executor()};
    control::peer_channels peers{"secret"};
    system_clock time;
    double late_tokens = 0;
    token_borrower borrower{this->context, this->peers, this->time, 1,
                            [this](account_id const&, double tokens)
                            { this->late_tokens += tokens; }};
};

} // namespace

TEST_CASE("a silent quota holder does not prevent a call from getting tokens of another")
{
    // Guards against refusals of calls within the quota. Two quota holders that did not reply
    // within 60 ms each led to a refusal.
    lender silent(milliseconds(700), 100, true);
    lender other_silent(milliseconds(700), 100, true);
    lender third(milliseconds(0), 100, true);
    borrowing_entry entry;
    for (int i = 0; i < 6; ++i)
    {
        auto const outcome = entry.borrow({silent.address, other_silent.address, third.address});
        CHECK(outcome.lent == 100);
    }
    // Quota holders that did not reply in time are tried last afterwards.
    CHECK(silent.calls + other_silent.calls <= 4);
}

TEST_CASE("an entry that is no quota holder does not cause a refusal")
{
    // Guards against refusals by an entry that has no tokens to lend because it holds no quota.
    lender without_tokens(milliseconds(0), 0, false);
    borrowing_entry entry;
    CHECK_FALSE(entry.borrow({without_tokens.address}).refused);
    lender other(milliseconds(0), 100, true);
    for (int i = 0; i < 4; ++i)
        CHECK(entry.borrow({without_tokens.address, other.address}).lent == 100);
}

TEST_CASE("two quota holders without tokens cause a refusal and unreachable ones do not")
{
    // Guards against calls that are refused within the quota because quota holders are unreachable.
    lender first(milliseconds(0), 0, true);
    lender second(milliseconds(0), 0, true);
    borrowing_entry entry;
    CHECK(entry.borrow({first.address, second.address}).refused);
    CHECK_FALSE(entry.borrow({network_address("127.0.0.1:1")}).refused);
}

TEST_CASE("tokens that arrive after the end of their call go back to the quota holder")
{
    // Guards against lent tokens that are lost for the account.
    lender slow(milliseconds(150), 100, true);
    lender other(milliseconds(0), 100, true);
    borrowing_entry entry;
    double lent = 0;
    for (int i = 0; i < 8 && slow.calls == 0; ++i)
        lent += entry.borrow({slow.address, other.address}).lent;
    REQUIRE(slow.calls == 1);
    CHECK(lent >= 100);
    entry.context->run_for(milliseconds(300));
    CHECK(slow.returned == 100);
    CHECK(entry.late_tokens == 0);
}

TEST_CASE("connections to quota holders are open before the first call")
{
    // Guards against first calls that are refused because a connection takes too long to open.
    lender quota_holder(milliseconds(0), 100, true);
    borrowing_entry entry;
    entry.borrower.add_quota_holders({quota_holder.address});
    entry.borrower.open_connections();
    auto const channel = entry.peers.channel(quota_holder.address);
    CHECK(channel->WaitForConnected(std::chrono::system_clock::now() + seconds(3)));
}
