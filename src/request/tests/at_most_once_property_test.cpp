#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <lagoonladder/request.hpp>

using namespace lagoonladder;
using namespace lagoonladder::request;

namespace
{

using step = std::tuple<int, int, int>;

/// Replies that the callers of one key have received so far.
struct caller_view
{
    std::set<attempt_id> granted;
    std::set<attempt_id> withdrawn;
    std::optional<std::string> answer;
};

void check_reply(caller_view& model, attempt_id const& attempt, at_most_once_reply const& reply)
{
    if (reply.verdict == at_most_once_verdict::granted)
    {
        RC_ASSERT(!model.withdrawn.contains(attempt));
        model.granted.insert(attempt);
        RC_ASSERT(model.granted.size() <= model.withdrawn.size() + 1);
    }
    if (reply.verdict == at_most_once_verdict::refused)
    {
        // The holder of each earlier grant has withdrawn it.
        model.withdrawn.insert(attempt);
        for (auto const& earlier : model.granted)
            RC_ASSERT(model.withdrawn.contains(earlier));
    }
    if (reply.verdict == at_most_once_verdict::answered)
    {
        RC_ASSERT(reply.answer.has_value());
        RC_ASSERT(model.answer.value_or(reply.answer->body) == reply.answer->body);
        RC_ASSERT(model.granted.contains(attempt_id(reply.answer->body)));
        model.answer = reply.answer->body;
    }
    RC_ASSERT(!model.answer || reply.verdict == at_most_once_verdict::answered);
}

} // namespace

TEST_CASE("the at-most-once table grants one attempt")
{
    // Guards against a sequence of commands that grants a key twice or loses an answer.
    rc::prop(
        "for any sequence of commands",
        [](std::vector<step> const& steps)
        {
            at_most_once_table table;
            caller_view model;
            at_most_once_key const key{account_id("a"), service_name("s"), idempotency_key("k")};
            wall_time now{std::chrono::hours(24 * 20000)};
            for (auto const& [kind, attempt_number, elapsed] : steps)
            {
                now += milliseconds(std::abs(elapsed % 3000));
                attempt_id const attempt(std::to_string(std::abs(attempt_number % 4)));
                if (kind % 4 == 0)
                    check_reply(model, attempt,
                                table.begin(now, {key, "d", attempt, now,
                                                  now + milliseconds(elapsed % 5000)}));
                else if (kind % 4 == 1 || kind % 4 == -1)
                    check_reply(model, attempt,
                                table.refuse(now, {key, "d", attempt, milliseconds(500)}));
                else if (kind % 4 == 2 || kind % 4 == -2)
                {
                    stored_answer const answer{200, "", attempt.value()};
                    table.finish(now, {key, attempt, answer});
                }
                else
                {
                    table.expire(now);
                    table.restore(table.snapshot());
                }
            }
        });
}
