#include <catch2/catch.hpp>

#include <lagoonladder/request.hpp>

using namespace lagoonladder;
using namespace lagoonladder::request;

namespace
{

wall_time at(int second)
{
    return wall_time(std::chrono::hours(24 * 20000) + seconds(second));
}

at_most_once_key const key{account_id("desk"), service_name("booking"), idempotency_key("k1")};

at_most_once_begin begin_of(char const* attempt, int arrived, char const* digest = "d")
{
    return {key, digest, attempt_id(attempt), at(arrived), at(arrived + 30)};
}

at_most_once_refuse refuse_of(char const* attempt, char const* digest = "d")
{
    return {key, digest, attempt_id(attempt), seconds(5)};
}

at_most_once_finish finish_of(char const* attempt, std::optional<stored_answer> answer)
{
    return {key, attempt_id(attempt), std::move(answer)};
}

} // namespace

TEST_CASE("only one attempt of a key is granted")
{
    // Guards against a second dispatch when a request is sent again to another entry.
    at_most_once_table table;
    CHECK(table.begin(at(0), begin_of("a", 0)).verdict == at_most_once_verdict::granted);
    CHECK(table.begin(at(1), begin_of("a", 0)).verdict == at_most_once_verdict::granted);
    auto const other = table.begin(at(1), begin_of("b", 1));
    CHECK(other.verdict == at_most_once_verdict::in_progress);
    CHECK(other.attempt == attempt_id("a"));
    CHECK(table.begin(at(1), begin_of("c", 1, "other body")).verdict ==
          at_most_once_verdict::conflict);
    CHECK(table.refuse(at(2), refuse_of("b")).verdict == at_most_once_verdict::in_progress);
    table.finish(at(3), finish_of("b", stored_answer{500, "", "not mine"}));
    CHECK(table.find(key)->verdict == at_most_once_verdict::in_progress);
    table.finish(at(3), finish_of("a", stored_answer{200, "text/plain", "booked"}));
    auto const resent = table.begin(at(4), begin_of("d", 4));
    CHECK(resent.verdict == at_most_once_verdict::answered);
    CHECK(resent.answer->body == "booked");
    table.finish(at(5), finish_of("a", stored_answer{500, "", "late"}));
    CHECK(table.find(key)->answer->body == "booked");
}

TEST_CASE("a refused key accepts only new attempts after its reopening time")
{
    // Guards against an attempt that is executed after its caller received "executed: no".
    at_most_once_table table;
    auto const refused = table.refuse(at(10), refuse_of("a"));
    CHECK(refused.verdict == at_most_once_verdict::refused);
    CHECK(refused.reopen_at == at(15));
    CHECK(table.begin(at(11), begin_of("b", 9)).verdict == at_most_once_verdict::refused);
    CHECK(table.begin(at(20), begin_of("b", 16)).verdict == at_most_once_verdict::refused);
    CHECK(table.begin(at(20), begin_of("a", 16)).verdict == at_most_once_verdict::refused);
    CHECK(table.begin(at(20), begin_of("c", 14)).verdict == at_most_once_verdict::refused);
    // The clock of the entry is ahead: the arrival cannot be later than the time of the log entry.
    CHECK(table.begin(at(14), begin_of("e", 16)).verdict == at_most_once_verdict::refused);
    CHECK(table.begin(at(20), begin_of("d", 15)).verdict == at_most_once_verdict::granted);
}

TEST_CASE("a withdrawn grant is never granted again")
{
    // Guards against a delayed duplicate that dispatches work which was refused.
    at_most_once_table table;
    table.begin(at(0), begin_of("a", 0));
    CHECK(table.refuse(at(1), refuse_of("a")).verdict == at_most_once_verdict::refused);
    CHECK(table.begin(at(9), begin_of("a", 8)).verdict == at_most_once_verdict::refused);
    table.finish(at(9), finish_of("a", stored_answer{200, "", "x"}));
    CHECK(table.find(key)->verdict == at_most_once_verdict::refused);
    CHECK(table.begin(at(9), begin_of("b", 8)).verdict == at_most_once_verdict::granted);
    CHECK(table.refuse(at(10), refuse_of("a")).verdict == at_most_once_verdict::in_progress);
}

TEST_CASE("the list of refused attempts stays bounded and keeps refusing")
{
    // Guards against unbounded memory for one key, and against the loss of an old refusal.
    at_most_once_table table;
    for (int i = 0; i < 1000; ++i)
        table.refuse(at(i), refuse_of(std::to_string(i).c_str()));
    for (int i = 0; i < 1000; ++i)
        REQUIRE(table.begin(at(2000), begin_of(std::to_string(i).c_str(), i)).verdict ==
                at_most_once_verdict::refused);
    CHECK(table.snapshot().dump().size() < 20'000);
}

TEST_CASE("attempts without an answer become unknown and old records are dropped")
{
    // Guards against a key that stays in progress for ever, and against unbounded growth.
    at_most_once_table table;
    table.begin(at(0), begin_of("a", 0));
    table.expire(at(29));
    CHECK(table.find(key)->verdict == at_most_once_verdict::in_progress);
    table.expire(at(30));
    CHECK(table.begin(at(31), begin_of("a", 0)).verdict == at_most_once_verdict::outcome_unknown);
    CHECK(table.refuse(at(31), refuse_of("a")).verdict == at_most_once_verdict::outcome_unknown);
    table.finish(at(40), finish_of("a", stored_answer{200, "", "late"}));
    CHECK(table.find(key)->verdict == at_most_once_verdict::answered);
    table.expire(at(39) + at_most_once_table::retention);
    CHECK(table.size() == 1);
    table.expire(at(40) + at_most_once_table::retention);
    CHECK(table.size() == 0);
    // Guards against a proposal that is committed a day late, when its record was dropped already.
    CHECK(table.begin(at(50) + at_most_once_table::retention, begin_of("a", 0)).verdict ==
          at_most_once_verdict::outcome_unknown);
    CHECK(table.size() == 0);
}

TEST_CASE("a restored table equals the stored one")
{
    // Guards against a restart that loses a grant, a refusal or an answer.
    at_most_once_table table;
    table.begin(at(0), begin_of("a", 0));
    table.refuse(at(1), refuse_of("a"));
    table.begin(at(9), begin_of("b", 9));
    table.finish(at(9), finish_of("b", stored_answer{200, "", std::string("\xff\0x", 3)}));
    at_most_once_table restored;
    restored.restore(table.snapshot());
    CHECK(restored.snapshot() == table.snapshot());
    restored.expire(at(9) + at_most_once_table::retention);
    CHECK(restored.size() == 0);
    CHECK_THROWS_AS(restored.restore({{{"key", 3}}}), parse_error);
}
