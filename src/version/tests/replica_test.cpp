#include <functional>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "service_maps.hpp"

using namespace lagoonladder;
using namespace lagoonladder::version;

namespace
{

std::string number(random_source& random, std::uint64_t bound)
{
    return std::to_string(random.below(bound));
}

/// A configuration of several parts.
constexpr std::size_t many_routes = 1'000;

/// Orders with their contents, and with the parts of the contents only.
class drawn_orders
{
public:
    explicit drawn_orders(random_source& random)
    {
        auto const first = random.below(1'000);
        for (std::uint64_t i = 1; i <= 3; ++i)
            this->orders.push_back(
                make_apply_command(make_large_configuration(first + i, many_routes)));
    }

    command_body draw_order(random_source& random) const
    {
        auto order = this->draw(random);
        if (random.below(4) > 0)
            order.content.bytes.reset();
        return order;
    }

    command_body draw_part(random_source& random) const
    {
        auto const parts = split(this->draw(random).content);
        auto part = parts[random.below(parts.size())];
        if (random.below(20) == 0)
            part.bytes[random.below(part.bytes.size())] ^= 1;
        return store_content_part{std::move(part)};
    }

private:
    apply_service_map draw(random_source& random) const
    {
        return this->orders[random.below(this->orders.size())];
    }

    std::vector<apply_service_map> orders;
};

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

using draw_function = std::function<command_body(shared_state const& seen, wall_time now)>;

/// Runs drawn commands through a replica that is restored now and then and one that is not.
void check_replicas(random_source& random, std::uint64_t commands, draw_function const& draw)
{
    control_state steady;
    control_state restored;
    wall_time now{std::chrono::hours(24 * 20000)};
    for (std::uint64_t index = 1; index <= commands; ++index)
    {
        // Now and then a day passes, so that records are dropped.
        now += random.below(100) == 0 ? std::chrono::hours(25) : milliseconds(random.below(3000));
        command const entry{now, draw(*steady.shared(), now)};
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
                 check_replicas(random, 300,
                                [&](shared_state const& seen, wall_time now)
                                { return draw_command(random, seen, now); });
             });
}

TEST_CASE("a replica that was restored amid uploads holds the same state")
{
    // Guards against parts that a restart loses, and replicas that answer a sender differently.
    rc::prop("for parts and orders between other commands",
             [](std::uint64_t seed)
             {
                 seeded_random random(seed);
                 drawn_orders const orders(random);
                 check_replicas(random, 30,
                                [&](shared_state const& seen, wall_time now)
                                {
                                    switch (random.below(4))
                                    {
                                    case 0:
                                        return draw_command(random, seen, now);
                                    case 1:
                                        return orders.draw_order(random);
                                    default:
                                        return orders.draw_part(random);
                                    }
                                });
             });
}
