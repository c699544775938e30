#include <catch2/catch.hpp>

#include "service_maps.hpp"

using namespace lagoonladder;
using namespace lagoonladder::version;

TEST_CASE("the route with the longest prefix is found")
{
    // Guards against a prefix that is matched in the middle of a path segment or in the query.
    service_index const index(make_map(1));
    auto const found = [&](char const* path) { return index.find_route("h", path)->name.value(); };
    CHECK(found("/a/b/c") == "ab");
    CHECK(found("/a/b?x=/a/b/") == "a");
    CHECK(found("/a/") == "a");
    CHECK(found("/x") == "all");
    CHECK(index.find_route("other", "/a/") == nullptr);
    CHECK(index.find_account_by_key("k2")->name == account_id("t"));
    CHECK(index.find_account_by_key("k3") == nullptr);
}

TEST_CASE("invalid service maps are detected")
{
    // Guards against putting a configuration in force whose routes can't be used.
    auto const problem = [](auto change)
    {
        auto map = make_map(1);
        change(map);
        return find_problem(map);
    };
    CHECK(problem([](auto&) {}).empty());
    CHECK_FALSE(
        problem([](auto& map) { map.routes[0].split[0].service = service_name("x"); }).empty());
    CHECK_FALSE(problem([](auto& map) { map.routes[0].split[0].weight = 0; }).empty());
    CHECK_FALSE(problem([](auto& map) { map.routes[0].timeout = duration(0); }).empty());
    CHECK_FALSE(problem([](auto& map) { map.routes[1].path_prefix = "/a/"; }).empty());
    CHECK_FALSE(problem([](auto& map) { map.accounts.push_back(map.accounts[0]); }).empty());
    CHECK_FALSE(problem(
                    [](auto& map)
                    {
                        map.accounts.push_back(map.accounts[0]);
                        map.accounts[1].name = account_id("other");
                    })
                    .empty());
    CHECK_FALSE(problem([](auto& map) { map.requires_key = false; }).empty());
}

TEST_CASE("the highest configuration number stays in force")
{
    // Guards against replacing an acknowledged configuration by an older or a different one.
    control_state state;
    auto const apply = [&](std::uint64_t index, std::uint64_t number, std::string const& text)
    {
        return std::get<apply_map_result>(
            state.apply(index, make_command(make_map_command(number, text))));
    };
    CHECK(apply(1, 7, "seven").stored);
    CHECK_FALSE(apply(2, 7, "other content").stored);
    CHECK_FALSE(apply(3, 5, "five").stored);
    CHECK(apply(4, 9, "nine").stored);

    control_state restored;
    restored.restore(state.snapshot());
    auto const read = std::get<pass_through_state_result>(
        restored.apply(5, make_command(read_pass_through_state{})));
    CHECK(read.number == 9);
    auto const shared = restored.shared();
    CHECK(read.content == shared->service_content.digest);
    auto const stated = decode_service_configuration(unpack(shared->service_content));
    CHECK(stated.document == "nine");
    CHECK(nlohmann::json(stated.map) == nlohmann::json(make_map(9)));
    REQUIRE(shared->services);
    CHECK(nlohmann::json(shared->services->map()) == nlohmann::json(make_map(9)));
}

TEST_CASE("a configuration that an earlier release has stored without accounts requires a key")
{
    // Guards against an update in place that opens a service whose last account was removed:
    // earlier releases did not store whether the configuration had a list of accounts.
    auto map = make_map(1);
    map.accounts.clear();
    map.requires_key = false;
    nlohmann::json stored = map;
    CHECK_FALSE(stored.get<service_map>().requires_key);
    stored.erase("requires_key");
    CHECK(stored.get<service_map>().requires_key);

    auto const is_required = [](service_map const& stored_map)
    {
        auto const bytes = encode(service_configuration{stored_map, {}});
        return decode_service_configuration(bytes).map.requires_key;
    };
    CHECK_FALSE(is_required(map));
    // The field has its default value, which is not encoded, so that these are the bytes that an
    // earlier release has stored.
    map.requires_key = true;
    CHECK(is_required(map));
}

TEST_CASE("a caller without a key has no account")
{
    // Guards against an account that lists an empty key and so admits callers that send none.
    auto map = make_map(1);
    map.accounts[0].keys = {"", "k1"};
    service_index const index(map);
    CHECK(index.find_account_by_key("") == nullptr);
    CHECK(index.find_account_by_key("k1") != nullptr);
}

TEST_CASE("the first counts of a usage window are final")
{
    // Guards against reporting a window twice with different counts after a change of leader.
    control_state state;
    std::uint64_t next = 1;
    auto const add =
        [&](char const* vm, std::uint64_t started, std::uint64_t window, std::uint64_t count)
    {
        usage_report const report{
            vm_id(vm), incarnation(started), {{window, {{account_id("t"), count}}}}};
        state.apply(next++, make_command(add_usage{{report}}));
    };
    auto const close = [&](std::uint64_t window)
    {
        auto const result = state.apply(next++, make_command(close_usage_window{window}));
        return std::get<usage_window_result>(result).window.counts;
    };
    add("a", 1, 3, 4);
    add("a", 1, 3, 3);
    add("b", 1, 3, 1);
    // The entry was restarted and counts from zero.
    add("a", 2, 3, 2);
    add("a", 2, 4, 6);
    CHECK(close(3).at(account_id("t")) == 7);
    add("b", 1, 3, 9);
    CHECK(close(3).at(account_id("t")) == 7);
    state.apply(next++, make_command(confirm_usage_window{3}));

    // Counts of the open window survive a change of leader and a restart from a snapshot.
    control_state restored;
    restored.restore(state.snapshot());
    CHECK(restored.usage_windows().at(3).is_confirmed);
    CHECK(restored.usage_windows().at(3).counts.at(account_id("t")) == 7);
    CHECK(restored.open_usage().totals(4).at(account_id("t")) == 6);
}

TEST_CASE("a voter that was restored from a snapshot ignores reports of closed usage windows too")
{
    // Guards against voters whose states differ after the same commands, one of which was restored
    // from a snapshot in between.
    control_state state;
    auto const report = [](std::uint64_t window)
    {
        return make_command(
            add_usage{{{vm_id("a"), incarnation(1), {{window, {{account_id("t"), 5}}}}}}});
    };
    state.apply(1, report(3));
    state.apply(2, report(4));
    state.apply(3, make_command(close_usage_window{3}));
    control_state restored;
    restored.restore(state.snapshot());
    state.apply(4, report(3));
    restored.apply(4, report(3));
    CHECK(restored.open_usage().totals(3).empty());
    CHECK(restored.snapshot() == state.snapshot());
}

TEST_CASE("a resent start of a move has no effect")
{
    // Guards against a resent command that starts a reversed move again.
    control_state state;
    state.apply(1, make_command(make_map_command(1, "one")));
    auto const start = [&](std::uint64_t index, char const* service, char const* to,
                           wall_time now = wall_time(seconds(1)))
    {
        return std::get<start_move_result>(
                   state.apply(index,
                               make_command(start_service_move{service_name(service),
                                                               version_name(to), seconds(12)},
                                            now)))
            .outcome;
    };
    CHECK(start(2, "x", "v2") == start_move_outcome::unknown_service);
    CHECK(start(3, "s", "v2") == start_move_outcome::started);
    CHECK(start(4, "s", "v2") == start_move_outcome::repeated);
    auto const move = state.shared()->moves.at(0);
    CHECK(move.state == move_state::running);
    state.apply(5, make_command(update_move{
                       service_name("s"), move.generation, 0, move_state::reversed, "bad", {}}));
    // The operator resends the command because the response was lost.
    CHECK(start(6, "s", "v2") == start_move_outcome::repeated);
    CHECK(start(7, "s", "v2", wall_time(seconds(60))) == start_move_outcome::started);
}
