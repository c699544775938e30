#include <algorithm>

#include <catch2/catch.hpp>

#include "envelope.hpp"
#include "service_maps.hpp"

using namespace lagoonladder;
using namespace lagoonladder::version;

namespace
{

/// Number of routes of the largest supported pass-through configuration.
constexpr std::size_t many_routes = 10'000;

/// Applies commands as they are decoded from the log.
struct voter
{
    command_result run(command_body body)
    {
        return this->state.apply(++this->index, make_command(std::move(body)));
    }

    apply_map_result apply(apply_service_map const& map_command)
    {
        return std::get<apply_map_result>(this->run(map_command));
    }

    void store(std::vector<content_part> const& parts)
    {
        for (auto const& part : parts)
            this->run(store_content_part{part});
    }

    control_state state;
    std::uint64_t index = 0;
};

apply_service_map without_bytes(apply_service_map map_command)
{
    map_command.content.bytes.reset();
    return map_command;
}

} // namespace

TEST_CASE("a large configuration is stored by small commands")
{
    // Guards against log entries that a slow link can't transfer within an election timeout.
    auto const map_command = make_apply_command(make_large_configuration(1, many_routes));
    auto const parts = split(map_command.content);
    REQUIRE(parts.size() > 1);
    for (auto const& part : parts)
        CHECK(encode(command{{}, store_content_part{part}}).size() < max_content_part_bytes + 1024);
    CHECK(encode(command{{}, without_bytes(map_command)}).size() < 1024);
}

TEST_CASE("a configuration is put in force once all its parts are stored")
{
    // Guards against a configuration that is put in force incomplete, or whose upload starts over
    // after a restart.
    auto const source = make_large_configuration(1, many_routes);
    auto const map_command = make_apply_command(source);
    auto parts = split(map_command.content);
    std::reverse(parts.begin(), parts.end());
    auto const last = parts.back();
    parts.pop_back();
    voter state_machine;
    state_machine.store(parts);
    auto const premature = state_machine.apply(without_bytes(map_command));
    CHECK_FALSE(premature.stored);
    CHECK(premature.lacks_content);
    CHECK(premature.held_parts.size() == parts.size());

    // The parts survive a restart and the daemon that sent them.
    voter restored;
    restored.state.restore(state_machine.state.snapshot());
    restored.index = state_machine.index;
    restored.store({last});
    CHECK(restored.apply(without_bytes(map_command)).stored);
    auto const shared = restored.state.shared();
    REQUIRE(shared->services);
    CHECK(shared->services->map().routes.size() == source.map.routes.size());
    CHECK(decode_service_configuration(unpack(shared->service_content)).document ==
          source.document);
}

TEST_CASE("a resent configuration needs no content")
{
    // Guards against transferring the content again when an operator resends a configuration.
    auto const map_command = make_apply_command(make_large_configuration(5, 100));
    voter state_machine;
    CHECK(state_machine.apply(map_command).stored);
    auto const resent = state_machine.apply(without_bytes(map_command));
    CHECK_FALSE(resent.stored);
    CHECK_FALSE(resent.lacks_content);
    CHECK(resent.number == 5);
}

TEST_CASE("contents that cannot be read change nothing")
{
    // Guards against a damaged or mislabelled content that replaces the configuration in force.
    voter state_machine;
    CHECK(state_machine.apply(make_map_command(1, "one")).stored);
    auto const before = state_machine.state.shared()->service_content.digest;

    CHECK_FALSE(state_machine.apply({2, pack("no configuration")}).stored);
    CHECK_FALSE(state_machine.apply({3, make_map_command(2, "two").content}).stored);
    auto map_command = make_apply_command(make_large_configuration(4, many_routes));
    auto parts = split(map_command.content);
    parts[1].bytes[7] ^= 1;
    state_machine.store(parts);
    auto const result = state_machine.apply(without_bytes(map_command));
    CHECK(result.lacks_content);
    // The damaged parts are removed, so that the sender can store them again.
    CHECK(result.held_parts.empty());
    CHECK(state_machine.state.shared()->service_content.digest == before);
}

TEST_CASE("parts of abandoned configurations are removed")
{
    // Guards against voters whose memory grows with uploads that never complete.
    voter state_machine;
    std::vector<apply_service_map> commands;
    for (std::uint64_t number = 1; number <= content_assembly::max_contents + 1; ++number)
    {
        commands.push_back(make_apply_command(make_large_configuration(number, many_routes)));
        state_machine.store({split(commands.back().content).front()});
    }
    CHECK(state_machine.apply(without_bytes(commands.front())).held_parts.empty());
    CHECK(state_machine.apply(without_bytes(commands.back())).held_parts.size() == 1);
}

TEST_CASE("a daemon that follows a move receives no routes")
{
    // Guards against sending the complete configuration to each daemon when a share changes.
    auto const source = make_large_configuration(1, many_routes);
    voter state_machine;
    state_machine.apply(make_apply_command(source));
    auto const first = *state_machine.state.shared();
    auto const local_state =
        make_shared_state(status_of(first), shared_state(), {first.service_content});
    state_machine.run(start_service_move{service_name("s"), version_name("v2"), seconds(12)});
    auto const changed = *state_machine.state.shared();
    CHECK(changed.changed_index > first.changed_index);
    auto const bytes = encode(status_of(changed));
    CHECK(bytes.size() < 4 * 1024);
    auto const status = decode_shared_status(bytes);
    CHECK(missing_contents(status, local_state).empty());
    auto const updated = make_shared_state(status, local_state, {});
    CHECK(updated.splits.at(service_name("s")).candidate == version_name("v2"));
    CHECK(updated.services == local_state.services);
}

TEST_CASE("a daemon without a log builds the state from its status and contents")
{
    // Guards against a daemon that uses a state whose contents are missing.
    voter state_machine;
    state_machine.run(apply_configuration{generation(0), "c.ini", "[service a]\nversion = 1\n",
                                          operation_id("o")});
    state_machine.apply(make_apply_command(make_large_configuration(3, 200)));
    auto const stored = *state_machine.state.shared();
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
    // Guards against a voter that cannot start after an update of the daemon.
    auto const map = make_map(4);
    auto const bytes =
        make_envelope(envelope_kind::command,
                      {{"now", wall_time(seconds(1))},
                       {"body", {{"type", 7}, {"value", {{"map", map}, {"document", "four"}}}}}});
    control_state state;
    CHECK(std::get<apply_map_result>(state.apply(1, decode_command(bytes))).stored);
    auto const shared = state.shared();
    CHECK(decode_service_configuration(unpack(shared->service_content)).document == "four");
}

TEST_CASE("damaged packed bytes are rejected")
{
    // Guards against damaged bytes that are used as a configuration.
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

TEST_CASE("configurations that are sent concurrently are all stored")
{
    // Guards against uploads that remove each other's parts and never complete. An operator may
    // upload eight configurations at the same time.
    voter state_machine;
    std::vector<apply_service_map> commands;
    std::vector<std::vector<content_part>> parts;
    for (std::uint64_t number = 1; number <= 8; ++number)
    {
        commands.push_back(make_apply_command(make_large_configuration(number, many_routes)));
        parts.push_back(split(commands.back().content));
    }
    for (std::size_t round = 0; round < parts[0].size() + 1; ++round)
    {
        for (auto const& parts_of_content : parts)
        {
            if (round < parts_of_content.size())
                state_machine.run(store_content_part{parts_of_content[round]});
        }
    }
    for (auto const& map_command : commands)
        CHECK(state_machine.apply(without_bytes(map_command)).stored);
}
