#include <functional>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "service_maps.hpp"

using namespace lagoonladder;
using namespace lagoonladder::version;

namespace
{

std::string random_number(random_source& random, std::uint64_t bound)
{
    return std::to_string(random.below(bound));
}

/// Number of routes with which a configuration is split into several parts.
constexpr std::size_t many_routes = 1'000;

/// Draws commands that apply one of three service maps, with or without the bytes of their
/// contents, and commands that store a part of these contents.
class upload_commands
{
public:
    explicit upload_commands(random_source& random)
    {
        auto const first = random.below(1'000);
        for (std::uint64_t i = 1; i <= 3; ++i)
            this->commands.push_back(
                make_apply_command(make_large_configuration(first + i, many_routes)));
    }

    command_body random_apply(random_source& random) const
    {
        auto apply = this->pick(random);
        if (random.below(4) > 0)
            apply.content.bytes.reset();
        return apply;
    }

    command_body random_part(random_source& random) const
    {
        auto const parts = split(this->pick(random).content);
        auto part = parts[random.below(parts.size())];
        if (random.below(20) == 0)
            part.bytes[random.below(part.bytes.size())] ^= 1;
        return store_content_part{std::move(part)};
    }

private:
    apply_service_map pick(random_source& random) const
    {
        return this->commands[random.below(this->commands.size())];
    }

    std::vector<apply_service_map> commands;
};

command_body random_command(random_source& random, shared_state const& shared, wall_time now)
{
    request::at_most_once_key const key{account_id("a"), service_name("s"),
                                        idempotency_key(random_number(random, 6))};
    attempt_id const attempt(random_number(random, 5));
    switch (random.below(7))
    {
    case 0:
        return apply_configuration{shared.generation, "c.ini",
                                   "[service s]\nversion = " + random_number(random, 3) + "\n",
                                   operation_id(random_number(random, 1000))};
    case 1:
        return update_move{service_name("s"),
                           shared.generation,
                           random.unit(),
                           static_cast<move_state>(random.below(3)),
                           "r",
                           {{"n", "1"}}};
    case 2:
        return reserve_orders{random.below(4), 3};
    case 3:
        return expire_records{};
    case 4:
        return request::at_most_once_begin{key, "d" + random_number(random, 2), attempt, now,
                                           now + seconds(9)};
    case 5:
        return request::at_most_once_refuse{key, "d" + random_number(random, 2), attempt,
                                            seconds(2)};
    default:
        return request::at_most_once_finish{key, attempt, request::stored_answer{200, "", "x"}};
    }
}

using command_source = std::function<command_body(shared_state const& shared, wall_time now)>;

/// Applies drawn commands to a replica that is restored from its snapshot at random and to one
/// that is not, and compares both.
void check_replicas(random_source& random, std::uint64_t command_count,
                    command_source const& next_command)
{
    control_state reference;
    control_state restored;
    wall_time now{std::chrono::hours(24 * 20000)};
    for (std::uint64_t index = 1; index <= command_count; ++index)
    {
        // In about one of 100 steps a day passes, so that old records expire.
        now += random.below(100) == 0 ? std::chrono::hours(25) : milliseconds(random.below(3000));
        command const entry{now, next_command(*reference.shared(), now)};
        auto const expected = reference.apply(index, entry);
        auto const result = restored.apply(index, decode_command(encode(entry)));
        RC_ASSERT(encode(result) == encode(expected));
        RC_ASSERT(encode(decode_command_result(encode(result))) == encode(result));
        if (random.below(10) == 0)
            restored.restore(restored.snapshot());
    }
    RC_ASSERT(restored.snapshot() == reference.snapshot());
    auto const shared = reference.shared();
    auto const status = encode(status_of(*shared));
    RC_ASSERT(encode(decode_shared_status(status)) == status);
    auto const rebuilt =
        make_shared_state(decode_shared_status(status), shared_state(),
                          {shared->configuration_content, shared->service_content});
    RC_ASSERT(encode(status_of(rebuilt)) == status);
    RC_ASSERT(rebuilt.text == shared->text);
    RC_ASSERT(reference.shared()->moves.size() <= control_state::max_ended_moves + 1);
}

} // namespace

TEST_CASE("a replica that was restored from snapshots holds the same state")
{
    // Guards against a field that is missing in the snapshot or in the encoding of a command,
    // and against replicas whose states diverge.
    rc::prop("for commands of all kinds",
             [](std::uint64_t seed)
             {
                 seeded_random random(seed);
                 check_replicas(random, 300,
                                [&](shared_state const& shared, wall_time now)
                                { return random_command(random, shared, now); });
             });
}

TEST_CASE("a replica that was restored during uploads holds the same state")
{
    // Guards against parts that are lost in a restart, and against replicas that return
    // different results.
    rc::prop("for uploads between other commands",
             [](std::uint64_t seed)
             {
                 seeded_random random(seed);
                 upload_commands const commands(random);
                 check_replicas(random, 30,
                                [&](shared_state const& shared, wall_time now)
                                {
                                    switch (random.below(4))
                                    {
                                    case 0:
                                        return random_command(random, shared, now);
                                    case 1:
                                        return commands.random_apply(random);
                                    default:
                                        return commands.random_part(random);
                                    }
                                });
             });
}
