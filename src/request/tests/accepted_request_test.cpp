#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <lagoonladder/request.hpp>

using namespace lagoonladder;
using namespace lagoonladder::request;

namespace
{

using result = journal_result;

accepted_request make_request(std::uint64_t sequence = 1)
{
    accepted_request out;
    out.owner = vm_id("vm-1");
    out.companion = vm_id("vm-2");
    out.id = make_request_id(out.owner, out.companion, sequence);
    out.account = account_id("permits");
    out.body = "{}";
    return out;
}

std::vector<std::string> tokens(std::uint64_t from, std::uint64_t to)
{
    std::vector<std::string> out;
    for (auto i = from; i < to; ++i)
        out.push_back("t" + std::to_string(i));
    return out;
}

/// Owner and companion of one request, connected by a network that loses and delays progress. The
/// caller reads from the owner and, after the owner died, from the companion.
class pair_model
{
public:
    explicit pair_model(std::uint64_t seed)
        : random(seed)
    {
        this->owner.accept({}, this->request);
        this->companion.hold({}, this->request);
        this->owner.confirm_held({}, this->request.id);
    }

    /// Runs the owner until it has finished, at most for `dies_after` steps.
    void run_owner(std::uint64_t dies_after)
    {
        for (std::uint64_t step = 0; step < dies_after && this->produced <= length; ++step)
        {
            if (this->random.below(2) == 0)
                this->produce();
            else
                this->send_progress();
        }
    }

    void produce()
    {
        if (this->produced == length)
            this->owner.finish({}, this->request.id, {"stop", "", 0});
        else
            this->owner.append({}, this->request.id, token_offset(this->produced),
                               tokens(this->produced, this->produced + 1));
        ++this->produced;
    }

    void send_progress()
    {
        auto const batch = this->owner.pending_progress(this->request.id);
        if (batch && this->random.below(3) > 0)
            this->in_flight.push_back(*batch);
        if (this->in_flight.empty() || this->random.below(2) == 0)
            return;
        auto const index = this->random.below(this->in_flight.size());
        auto const received = this->in_flight[index];
        this->companion.progress({}, this->request.id, received);
        // The acknowledgement may be lost, and the batch may arrive again.
        if (this->random.below(2) == 0)
            this->owner.confirm_progress(
                {}, this->request.id, *this->companion.next_offset(this->request.id),
                this->companion.state_of(this->request.id) == holder_state::finished);
    }

    static constexpr std::uint64_t length = 12;
    seeded_random random;
    accepted_request request = make_request();
    request_journal owner{vm_id("vm-1")};
    request_journal companion{vm_id("vm-2")};
    /// Tokens that the owner produced, plus one when it has finished.
    std::uint64_t produced = 0;
    std::vector<progress_batch> in_flight;
};

} // namespace

TEST_CASE("the companion finishes the request whenever the owner dies")
{
    // Guards against an accepted request that is lost, or whose response is truncated or has
    // repeated tokens, when the owner dies between any two steps.
    rc::prop("the response is complete",
             []
             {
                 pair_model model(*rc::gen::arbitrary<std::uint64_t>());
                 model.run_owner(*rc::gen::inRange<std::uint64_t>(0, 80));
                 auto const& id = model.request.id;
                 auto const take_overs = model.companion.owner_lost({}, vm_id("vm-1"));
                 RC_ASSERT(model.companion.owner_lost({}, vm_id("vm-1")).empty());
                 if (model.companion.state_of(id) == holder_state::finished)
                     RC_ASSERT(take_overs.empty());
                 else
                 {
                     RC_ASSERT(take_overs.size() == 1U);
                     auto const from = take_overs.front().resume_at.value();
                     RC_ASSERT(take_overs.front().tokens == tokens(0, from));
                     // Progress of the old owner that arrives late changes nothing.
                     for (auto const& batch : model.in_flight)
                         RC_ASSERT(model.companion.progress({}, id, batch) == result::superseded);
                     RC_ASSERT(model.companion.append({}, id, take_overs.front().resume_at,
                                                      tokens(from, pair_model::length)) !=
                               result::superseded);
                     model.companion.finish({}, id, {"stop", "", 0});
                 }
                 auto const complete =
                     model.companion.fetch(id, account_id("permits"), token_offset(0));
                 RC_ASSERT(complete.tokens == tokens(0, pair_model::length));
                 RC_ASSERT(complete.outcome.has_value());
             });
}

TEST_CASE("an owner whose request was taken over is informed and stops")
{
    // Guards against two entries that both continue a request after the owner was declared dead by
    // mistake.
    request_journal owner{vm_id("vm-1")};
    request_journal companion{vm_id("vm-2")};
    auto const request = make_request();
    CHECK(owner.accept({}, request) == result::stored);
    CHECK(owner.state_of(request.id) == holder_state::storing);
    CHECK(companion.hold({}, request) == result::stored);
    CHECK(companion.hold({}, request) == result::known);
    CHECK(owner.confirm_held({}, request.id) == result::stored);
    owner.append({}, request.id, token_offset(0), tokens(0, 3));
    CHECK(companion.owner_lost({}, vm_id("vm-1")).size() == 1);
    auto const batch = owner.pending_progress(request.id);
    REQUIRE(batch);
    CHECK(companion.progress({}, request.id, *batch) == result::superseded);
    CHECK(owner.hand_over({}, request.id) == result::stored);
    CHECK(owner.append({}, request.id, token_offset(3), tokens(3, 4)) == result::superseded);
    CHECK(owner.finish({}, request.id, {}) == result::superseded);
    CHECK_FALSE(owner.pending_progress(request.id));
    CHECK(owner.working_count() == 0);
    CHECK(companion.working_count() == 1);
}

TEST_CASE("a leaving owner hands over single requests")
{
    // Guards against a drain that ends before the companion has taken the request over.
    request_journal companion{vm_id("vm-2")};
    companion.hold({}, make_request(1));
    companion.hold({}, make_request(2));
    companion.progress({}, make_request(1).id, {token_offset(0), tokens(0, 2), std::nullopt});
    auto const taken = companion.take({}, make_request(1).id);
    REQUIRE(taken);
    CHECK(taken->resume_at == token_offset(2));
    CHECK_FALSE(companion.take({}, make_request(1).id));
    CHECK(companion.state_of(make_request(2).id) == holder_state::holding);
    CHECK(companion.progress({}, make_request(2).id, {token_offset(5), tokens(5, 6), {}}) ==
          result::gap);
}

TEST_CASE("only the account of a request may fetch it")
{
    // Guards against an account that reads another account's response by guessing its id.
    request_journal journal{vm_id("vm-1")};
    auto const request = make_request();
    journal.accept({}, request);
    journal.append({}, request.id, token_offset(0), tokens(0, 4));
    CHECK(journal.fetch(request.id, account_id("foundry"), token_offset(0)).status ==
          fetch_status::forbidden);
    CHECK(journal.fetch(request.id, account_id("foundry"), token_offset(0)).tokens.empty());
    CHECK(journal.fetch(request.id, account_id("permits"), token_offset(2)).tokens == tokens(2, 4));
    CHECK(journal.fetch(request.id, account_id("permits"), token_offset(9)).tokens.empty());
    CHECK(journal.fetch(request_id("x"), account_id("permits"), token_offset(0)).status ==
          fetch_status::not_found);
}

TEST_CASE("the journal is bounded and keeps unfinished requests")
{
    // Guards against unbounded memory, and against unfinished requests that are dropped to make
    // room for new ones.
    journal_options options;
    options.max_requests = 2;
    request_journal journal(vm_id("vm-1"), options);
    auto const start = time_point{};
    journal.accept(start, make_request(1));
    journal.accept(start, make_request(2));
    CHECK(journal.accept(start, make_request(3)) == result::full);
    journal.finish(start, make_request(1).id, {"stop", "", 0});
    CHECK(journal.accept(start, make_request(3)) == result::stored);
    CHECK_FALSE(journal.state_of(make_request(1).id));
    journal.finish(start, make_request(2).id, {"stop", "", 0});
    CHECK(journal.expire(start + std::chrono::minutes(10) - seconds(1)).empty());
    CHECK(journal.state_of(make_request(2).id) == holder_state::finished);
    journal.expire(start + std::chrono::minutes(10));
    CHECK_FALSE(journal.state_of(make_request(2).id));
    CHECK(journal.expire(start + std::chrono::minutes(30)) == std::vector{make_request(3).id});
    CHECK(journal.bytes() == 0);
}

TEST_CASE("requests that only this entry holds are listed")
{
    // Guards against the loss of a companion that is not reported while the owner still works.
    request_journal journal{vm_id("vm-1")};
    journal.accept({}, make_request(1));
    journal.accept({}, make_request(2));
    journal.finish({}, make_request(2).id, {"stop", "", 0});
    CHECK(journal.unfinished_with_companion(vm_id("vm-2")) == std::vector{make_request(1).id});
    CHECK(journal.unfinished_with_companion(vm_id("vm-3")).empty());
}

TEST_CASE("request ids name owner and companion")
{
    // Guards against VM ids that contain the separator, so that the parsed id names another entry.
    rc::prop("ids are parsed back",
             [](std::uint64_t sequence)
             {
                 auto const text = rc::gen::nonEmpty(
                     rc::gen::container<std::string>(rc::gen::element('a', '-', '~', '0', '1')));
                 auto const owner = vm_id(*text);
                 auto const companion = vm_id(*text);
                 auto const parts = parse_request_id(make_request_id(owner, companion, sequence));
                 RC_ASSERT(parts.has_value());
                 RC_ASSERT(parts->owner == owner);
                 RC_ASSERT(parts->companion == companion);
                 RC_ASSERT(parts->sequence == std::to_string(sequence));
             });
    for (auto const* text : {"", "a", "a-b", "a-b-", "-b-1", "a--1", "a-b-1x", "a~-b-1", "a-b-1-2"})
        CHECK_FALSE(parse_request_id(request_id(text)));
}
