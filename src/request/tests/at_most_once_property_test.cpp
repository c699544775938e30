#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <lagoonladder/request.hpp>

using namespace lagoonladder;
using namespace lagoonladder::request;

namespace
{

/// Numbers that select the kind of a command, its attempt, and the milliseconds before it.
using random_command = std::tuple<int, int, int>;

/// Replies that the callers of one key have received so far.
struct caller_view
{
    std::set<attempt_id> granted;
    std::set<attempt_id> withdrawn;
    std::optional<std::string> answer;
};

void check_reply(caller_view& view, attempt_id const& attempt, at_most_once_reply const& reply)
{
    if (reply.verdict == at_most_once_verdict::granted)
    {
        RC_ASSERT(!view.withdrawn.contains(attempt));
        view.granted.insert(attempt);
        RC_ASSERT(view.granted.size() <= view.withdrawn.size() + 1);
    }
    if (reply.verdict == at_most_once_verdict::refused)
    {
        // The holder of each earlier grant has withdrawn it.
        view.withdrawn.insert(attempt);
        for (auto const& earlier : view.granted)
            RC_ASSERT(view.withdrawn.contains(earlier));
    }
    if (reply.verdict == at_most_once_verdict::answered)
    {
        RC_ASSERT(reply.answer.has_value());
        RC_ASSERT(view.answer.value_or(reply.answer->body) == reply.answer->body);
        RC_ASSERT(view.granted.contains(attempt_id(reply.answer->body)));
        view.answer = reply.answer->body;
    }
    RC_ASSERT(!view.answer || reply.verdict == at_most_once_verdict::answered);
}

} // namespace

TEST_CASE("the at-most-once table grants one attempt")
{
    // Guards against a sequence of commands that grants a key twice or loses an answer.
    rc::prop(
        "for any sequence of commands",
        [](std::vector<random_command> const& commands)
        {
            at_most_once_table table;
            caller_view view;
            at_most_once_key const key{account_id("a"), service_name("s"), idempotency_key("k")};
            wall_time now{std::chrono::hours(24 * 20000)};
            for (auto const& [kind, attempt_number, elapsed] : commands)
            {
                now += milliseconds(std::abs(elapsed % 3000));
                attempt_id const attempt(std::to_string(std::abs(attempt_number % 4)));
                if (kind % 4 == 0)
                    check_reply(view, attempt,
                                table.begin(now, {key, "d", attempt, now,
                                                  now + milliseconds(elapsed % 5000)}));
                else if (kind % 4 == 1 || kind % 4 == -1)
                    check_reply(view, attempt,
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
