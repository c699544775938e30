#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <lagoonladder/version.hpp>

using namespace lagoonladder;
using namespace lagoonladder::version;

namespace
{

std::string number(random_source& random, std::uint64_t bound)
{
    return std::to_string(random.below(bound));
}

command_body draw_command(random_source& random, shared_state const& seen, wall_time now)
{
    request::once_key const key{account_id("a"), service_name("s"),
                                idempotency_key(number(random, 6))};
    attempt_id const attempt(number(random, 5));
    switch (random.below(7))
    {
    case 0:
        return apply_configuration{seen.generation, "c.ini",
                                   "[service s]\nversion = " + number(random, 3) + "\n",
                                   operation_id(number(random, 1000))};
    case 1:
        return update_move{service_name("s"),
                           seen.generation,
                           random.unit(),
                           static_cast<move_state>(random.below(3)),
                           "r",
                           {{"n", "1"}}};
    case 2:
        return reserve_orders{random.below(4), 3};
    case 3:
        return expire_records{};
    case 4:
        return request::once_begin{key, "d" + number(random, 2), attempt, now, now + seconds(9)};
    case 5:
        return request::once_refuse{key, "d" + number(random, 2), attempt, seconds(2)};
    default:
        return request::once_finish{key, attempt, request::stored_answer{200, "", "x"}};
    }
}

} // namespace

TEST_CASE("a replica that was restored from snapshots holds the same state")
{
    // Guards against a field that is missing in the snapshot or in a command's encoding,
    // and against replicas that drift apart.
    rc::prop("for commands of all kinds",
             [](std::uint64_t seed)
             {
                 seeded_random random(seed);
                 control_state steady;
                 control_state restored;
                 wall_time now{std::chrono::hours(24 * 20000)};
                 for (std::uint64_t index = 1; index <= 300; ++index)
                 {
                     // Now and then a day passes, so that records are dropped.
                     now += random.below(100) == 0 ? std::chrono::hours(25)
                                                   : milliseconds(random.below(3000));
                     command const entry{now, draw_command(random, *steady.shared(), now)};
                     auto const expected = steady.apply(index, entry);
                     auto const result = restored.apply(index, decode_command(encode(entry)));
                     RC_ASSERT(encode(result) == encode(expected));
                     RC_ASSERT(encode(decode_command_result(encode(result))) == encode(result));
                     if (random.below(10) == 0)
                         restored.restore(restored.snapshot());
                 }
                 RC_ASSERT(restored.snapshot() == steady.snapshot());
                 auto const shared = steady.shared();
                 auto const status = encode(status_of(*shared));
                 RC_ASSERT(encode(decode_shared_status(status)) == status);
                 auto const rebuilt =
                     make_shared_state(decode_shared_status(status), shared_state(),
                                       {shared->configuration_content, shared->service_content});
                 RC_ASSERT(encode(status_of(rebuilt)) == status);
                 RC_ASSERT(rebuilt.text == shared->text);
                 RC_ASSERT(steady.shared()->moves.size() <= control_state::max_ended_moves + 1);
             });
}
