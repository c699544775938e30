#include <algorithm>

#include <catch2/catch.hpp>

#include "envelope.hpp"
#include "service_maps.hpp"

using namespace lagoonladder;
using namespace lagoonladder::version;

namespace
{

/// Routes of a large pass-through configuration at the target size.
constexpr std::size_t many_routes = 10'000;

/// Applies commands as they come out of the log.
struct voter
{
    command_result run(command_body body)
    {
        return this->state.apply(++this->index, make_command(std::move(body)));
    }

    apply_map_result apply(apply_service_map const& order)
    {
        return std::get<apply_map_result>(this->run(order));
    }

    void store(std::vector<content_part> const& parts)
    {
        for (auto const& part : parts)
            this->run(store_content_part{part});
    }

    control_state state;
    std::uint64_t index = 0;
};

apply_service_map without_bytes(apply_service_map order)
{
    order.content.bytes.reset();
    return order;
}

} // namespace

TEST_CASE("no command of a large configuration is large")
{
    // Guards against log entries that no link carries within an election timeout.
    auto const order = make_apply_command(make_large_configuration(1, many_routes));
    auto const parts = split(order.content);
    REQUIRE(parts.size() > 1);
    for (auto const& part : parts)
        CHECK(encode(command{{}, store_content_part{part}}).size() < max_content_part_bytes + 1024);
    CHECK(encode(command{{}, without_bytes(order)}).size() < 1024);
}

TEST_CASE("a configuration is put in force once all its parts are stored")
{
    auto const stated = make_large_configuration(1, many_routes);
    auto const order = make_apply_command(stated);
    auto parts = split(order.content);
    std::reverse(parts.begin(), parts.end());
    auto const last = parts.back();
    parts.pop_back();
    voter one;
    one.store(parts);
    auto const early = one.apply(without_bytes(order));
    CHECK_FALSE(early.stored);
    CHECK(early.lacks_content);
    CHECK(early.held_parts.size() == parts.size());

    // The parts outlive a restart and the daemon that sent them.
    voter other;
    other.state.restore(one.state.snapshot());
    other.index = one.index;
    other.store({last});
    CHECK(other.apply(without_bytes(order)).stored);
    auto const shared = other.state.shared();
    REQUIRE(shared->services);
    CHECK(shared->services->map().routes.size() == stated.map.routes.size());
    CHECK(decode_service_configuration(unpack(shared->service_content)).document ==
          stated.document);
}

TEST_CASE("a resent configuration is answered without its content")
{
    // Guards against an operator's resend that costs as much as the first one.
    auto const order = make_apply_command(make_large_configuration(5, 100));
    voter one;
    CHECK(one.apply(order).stored);
    auto const again = one.apply(without_bytes(order));
    CHECK_FALSE(again.stored);
    CHECK_FALSE(again.lacks_content);
    CHECK(again.number == 5);
}

TEST_CASE("contents that cannot be read change nothing")
{
    voter one;
    CHECK(one.apply(make_order(1, "one")).stored);
    auto const before = one.state.shared()->service_content.digest;

    CHECK_FALSE(one.apply({2, pack("no configuration")}).stored);
    CHECK_FALSE(one.apply({3, make_order(2, "two").content}).stored);
    auto order = make_apply_command(make_large_configuration(4, many_routes));
    auto parts = split(order.content);
    parts[1].bytes[7] ^= 1;
    one.store(parts);
    auto const result = one.apply(without_bytes(order));
    CHECK(result.lacks_content);
    // The damaged parts are gone, so that the sender can store them again.
    CHECK(result.held_parts.empty());
    CHECK(one.state.shared()->service_content.digest == before);
}

TEST_CASE("parts of abandoned configurations do not pile up")
{
    voter one;
    std::vector<apply_service_map> orders;
    for (std::uint64_t number = 1; number <= content_assembly::max_contents + 1; ++number)
    {
        orders.push_back(make_apply_command(make_large_configuration(number, many_routes)));
        one.store({split(orders.back().content).front()});
    }
    CHECK(one.apply(without_bytes(orders.front())).held_parts.empty());
    CHECK(one.apply(without_bytes(orders.back())).held_parts.size() == 1);
}

TEST_CASE("a daemon that follows a move gets no routes")
{
    // Guards against share changes that carry the whole configuration to each reader.
    auto const stated = make_large_configuration(1, many_routes);
    voter one;
    one.apply(make_apply_command(stated));
    auto const first = *one.state.shared();
    auto const reader =
        make_shared_state(status_of(first), shared_state(), {first.service_content});
    one.run(start_service_move{service_name("s"), version_name("v2"), seconds(12)});
    auto const changed = *one.state.shared();
    CHECK(changed.changed_index > first.changed_index);
    auto const bytes = encode(status_of(changed));
    CHECK(bytes.size() < 4 * 1024);
    auto const status = decode_shared_status(bytes);
    CHECK(missing_contents(status, reader).empty());
    auto const followed = make_shared_state(status, reader, {});
    CHECK(followed.splits.at(service_name("s")).candidate == version_name("v2"));
    CHECK(followed.services == reader.services);
}

TEST_CASE("a daemon without a log builds the state from its status and contents")
{
    voter one;
    one.run(apply_configuration{generation(0), "c.ini", "[service a]\nversion = 1\n",
                                operation_id("o")});
    one.apply(make_apply_command(make_large_configuration(3, 200)));
    auto const stored = *one.state.shared();
    auto const status = decode_shared_status(encode(status_of(stored)));
    CHECK(missing_contents(status, shared_state()).size() == 2);
    CHECK_THROWS_AS(make_shared_state(status, shared_state(), {}), parse_error);
    auto const built = make_shared_state(status, shared_state(),
                                         {stored.configuration_content, stored.service_content});
    CHECK(built.generation == generation(1));
    CHECK(built.text == stored.text);
    CHECK(built.configuration.find_service(service_name("a")) != nullptr);
    CHECK(nlohmann::json(built.services->map()) == nlohmann::json(stored.services->map()));
}

TEST_CASE("a configuration in the log of an earlier release is read")
{
    auto const map = make_map(4);
    auto const bytes =
        seal(envelope_kind::of_command,
             {{"now", wall_time(seconds(1))},
              {"body", {{"type", 7}, {"value", {{"map", map}, {"document", "four"}}}}}});
    control_state state;
    CHECK(std::get<apply_map_result>(state.apply(1, decode_command(bytes))).stored);
    auto const shared = state.shared();
    CHECK(decode_service_configuration(unpack(shared->service_content)).document == "four");
}

TEST_CASE("damaged packed bytes are told")
{
    auto const content = pack("some text that is packed");
    CHECK(unpack(content) == "some text that is packed");
    auto damaged = *content.bytes;
    damaged[5] ^= 1;
    CHECK_THROWS_AS(make_packed(content.digest, damaged), parse_error);
    packed_content const forged{content.digest,
                                std::make_shared<std::string const>("not packed at all")};
    CHECK_THROWS_AS(unpack(forged), parse_error);
    CHECK_THROWS_AS(unpack(packed_content{content.digest, nullptr}), parse_error);
}

TEST_CASE("configurations that are sent at once do not push each other out")
{
    // Guards against uploads that drop each other's parts and never end: an operator may have
    // eight orders in progress.
    voter one;
    std::vector<apply_service_map> orders;
    std::vector<std::vector<content_part>> parts;
    for (std::uint64_t number = 1; number <= 8; ++number)
    {
        orders.push_back(make_apply_command(make_large_configuration(number, many_routes)));
        parts.push_back(split(orders.back().content));
    }
    for (std::size_t round = 0; round < parts[0].size() + 1; ++round)
    {
        for (auto const& of_one : parts)
        {
            if (round < of_one.size())
                one.run(store_content_part{of_one[round]});
        }
    }
    for (auto const& order : orders)
        CHECK(one.apply(without_bytes(order)).stored);
}
