#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <lagoonladder/request.hpp>

using namespace lagoonladder;
using namespace lagoonladder::request;

namespace
{

struct sent_token
{
    attempt_id attempt;
    std::uint64_t offset = 0;
    bool is_end = false;
};

/// Runs attempts that fail at random places; their remaining tokens arrive late, in any order,
/// between the tokens of later attempts.
class stream_model
{
public:
    stream_model(std::uint64_t length, std::uint64_t seed)
        : total(length)
        , random(seed)
    {
    }

    void run()
    {
        while (!this->assembly.is_finished())
        {
            auto const is_last = this->assembly.attempt_count() >= 20;
            this->run_attempt(is_last);
            for (int i = 0; i < 5; ++i)
                this->deliver_late();
        }
        while (!this->late.empty())
            this->deliver_late();
    }

    std::vector<std::uint64_t> forwarded;
    stream_assembly assembly;

private:
    void run_attempt(bool is_last)
    {
        auto const id = attempt_id("a" + std::to_string(this->assembly.attempt_count()));
        auto const resume = this->assembly.begin_attempt(id).value();
        // Some engines do not resume and start again from an earlier token.
        auto const first = this->random.below(3) == 0 ? this->random.below(resume + 1) : resume;
        auto const fails_at = is_last ? this->total : first + this->random.below(this->total);
        for (auto offset = first; offset < this->total; ++offset)
        {
            if (offset >= fails_at)
                this->late.push_back({id, offset, false});
            else if (this->random.below(40) == 0 && !is_last)
                continue; // The token is lost, so the next one leaves a gap.
            else
                this->deliver({id, offset, false});
            if (this->random.below(3) == 0)
                this->deliver_late();
        }
        auto const end = sent_token{id, this->total, true};
        if (fails_at < this->total)
            this->late.push_back(end);
        else
            this->deliver(end);
    }

    void deliver_late()
    {
        if (this->late.empty())
            return;
        auto const index = static_cast<std::ptrdiff_t>(this->random.below(this->late.size()));
        auto const token = this->late[static_cast<std::size_t>(index)];
        this->late.erase(this->late.begin() + index);
        this->deliver(token);
    }

    void deliver(sent_token const& token)
    {
        if (token.is_end)
            this->assembly.finish(token.attempt, token_offset(token.offset));
        else if (this->assembly.accept(token.attempt, token_offset(token.offset)) ==
                 token_decision::forward)
            this->forwarded.push_back(token.offset);
    }

    std::uint64_t total;
    seeded_random random;
    std::vector<sent_token> late;
};

} // namespace

TEST_CASE("each token is forwarded once and in order")
{
    // Guards against repeated, skipped or reordered tokens when attempts fail and their tokens
    // arrive late.
    rc::prop("the caller gets tokens 0 to n-1",
             []
             {
                 auto const length = *rc::gen::inRange<std::uint64_t>(1, 60);
                 stream_model model(length, *rc::gen::arbitrary<std::uint64_t>());
                 model.run();
                 RC_ASSERT(model.forwarded.size() == length);
                 for (std::uint64_t i = 0; i < length; ++i)
                     RC_ASSERT(model.forwarded[i] == i);
             });
}

TEST_CASE("a late token of a superseded attempt is dropped")
{
    // Guards against mixing the responses of two attempts when the offset of a late token fits.
    stream_assembly assembly;
    assembly.begin_attempt(attempt_id("a"));
    CHECK(assembly.accept(attempt_id("a"), token_offset(0)) == token_decision::forward);
    CHECK(assembly.begin_attempt(attempt_id("b")) == token_offset(1));
    CHECK(assembly.accept(attempt_id("a"), token_offset(1)) == token_decision::drop_superseded);
    CHECK(assembly.accept(attempt_id("b"), token_offset(2)) == token_decision::gap);
    CHECK(assembly.finish(attempt_id("a"), token_offset(1)) == token_decision::drop_superseded);
    CHECK(assembly.finish(attempt_id("b"), token_offset(3)) == token_decision::gap);
    assembly.abandon();
    CHECK(assembly.accept(attempt_id("b"), token_offset(1)) == token_decision::drop_superseded);
    CHECK_FALSE(assembly.is_finished());
}

TEST_CASE("recomputed tokens are counted")
{
    // Guards against counting a resumption by KV import as recomputation.
    stream_assembly assembly;
    assembly.begin_attempt(attempt_id("a"), resume_method::recompute, 100);
    CHECK(assembly.recomputed_tokens() == 0);
    assembly.accept(attempt_id("a"), token_offset(0));
    assembly.accept(attempt_id("a"), token_offset(1));
    assembly.begin_attempt(attempt_id("b"), resume_method::kv_import, 100);
    CHECK(assembly.recomputed_tokens() == 0);
    assembly.begin_attempt(attempt_id("c"), resume_method::recompute, 100);
    CHECK(assembly.recomputed_tokens() == 102);
    assembly.accept(attempt_id("c"), token_offset(1));
    CHECK(assembly.recomputed_tokens() == 103);
    stream_assembly resumed(token_offset(7));
    CHECK(resumed.begin_attempt(attempt_id("a"), resume_method::recompute, 10) == token_offset(7));
    CHECK(resumed.recomputed_tokens() == 17);
}
