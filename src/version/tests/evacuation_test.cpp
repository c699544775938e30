#include <catch2/catch.hpp>

#include <lagoonladder/version.hpp>

#include "envelope.hpp"

using namespace lagoonladder;
using namespace lagoonladder::version;

namespace
{

data_centre_id const hobart("hob-a");
wall_time const start = parse_wall_time("2026-12-06T06:00:00Z");

std::uint64_t number_of(control_state const& state)
{
    return evacuation_number(state.shared()->evacuations, hobart);
}

bool is_evacuated(control_state const& state)
{
    return is_evacuated(state.shared()->evacuations, hobart);
}

evacuation_result send(control_state& state, bool is_evacuated, std::optional<std::uint64_t> base)
{
    auto const index = state.applied_index() + 1;
    command const sent{start + seconds(index), set_evacuation{hobart, is_evacuated, base}};
    auto const result = state.apply(index, decode_command(encode(sent)));
    return std::get<evacuation_result>(decode_command_result(encode(result)));
}

/// Sends an order based on the newest number. Returns whether it changed the data centre's state.
bool send_order(control_state& state, bool is_evacuated)
{
    return send(state, is_evacuated, number_of(state)).is_changed;
}

/// Returns the snapshot as an earlier release writes it.
std::string snapshot_without_numbers(control_state const& state)
{
    auto snapshot = open_envelope(envelope_kind::snapshot, state.snapshot());
    for (auto& record : snapshot.at("shared").at("evacuations"))
        REQUIRE(record.erase("number") == 1);
    return make_envelope(envelope_kind::snapshot, snapshot);
}

} // namespace

TEST_CASE("a resent start or end of an evacuation changes nothing but the number")
{
    // Guards against a resent order that restarts the evacuation, and against daemons that do not
    // learn the number that it sets.
    control_state state;
    CHECK_FALSE(send_order(state, false));
    CHECK_FALSE(is_evacuated(state));
    CHECK(send_order(state, true));
    auto expected = state.shared()->evacuations;
    auto const first_number = number_of(state);
    CHECK_FALSE(send_order(state, true));
    expected.at(hobart).number = number_of(state);
    CHECK(number_of(state) > first_number);
    CHECK(state.shared()->evacuations == expected);
    CHECK(state.shared()->changed_index == state.applied_index());
    CHECK(send_order(state, false));
    CHECK(evacuated_data_centres(state.shared()->evacuations).empty());
    CHECK_FALSE(send_order(state, false));
    CHECK(send_order(state, true));
    CHECK(is_evacuated(state));
}

TEST_CASE("commands without a base take effect as before")
{
    // Guards against commands of earlier releases that are refused, or that give a replica that
    // replays them another state than one that restores a snapshot of that release.
    control_state state;
    CHECK_FALSE(send(state, false, std::nullopt).is_changed);
    CHECK(state.shared()->evacuations.empty());
    CHECK(send(state, true, std::nullopt).is_changed);
    auto const records = state.shared()->evacuations;
    auto const changed_index = state.shared()->changed_index;
    CHECK_FALSE(send(state, true, std::nullopt).is_changed);
    CHECK(state.shared()->evacuations == records);
    CHECK(state.shared()->changed_index == changed_index);
    CHECK(send(state, false, std::nullopt).is_changed);
    control_state restored;
    restored.restore(snapshot_without_numbers(state));
    CHECK(restored.shared()->evacuations == state.shared()->evacuations);
}

TEST_CASE("an order that is committed after a newer one has no effect")
{
    // Guards against a stalled start that evacuates the data centre after an end was acknowledged,
    // and against a stalled end that lets traffic back in.
    control_state state;
    CHECK_FALSE(send(state, false, 0).is_outdated);
    CHECK(send(state, true, 0).is_outdated);
    CHECK_FALSE(is_evacuated(state));
    auto const ended = number_of(state);
    CHECK(send(state, true, ended).is_changed);
    auto const evacuated = number_of(state);
    CHECK(send(state, false, evacuated).is_changed);
    auto const expected = state.shared()->evacuations;
    auto const changed_index = state.shared()->changed_index;
    for (auto const base : {ended, evacuated})
    {
        auto const late = send(state, true, base);
        CHECK(late.is_outdated);
        CHECK_FALSE(late.is_changed);
        CHECK(late.number == number_of(state));
    }
    CHECK(state.shared()->evacuations == expected);
    CHECK(state.shared()->changed_index == changed_index);
    CHECK(send(state, true, number_of(state)).is_changed);
    CHECK_FALSE(send(state, true, 0).is_outdated);
    CHECK(send(state, false, evacuated).is_outdated);
    CHECK(is_evacuated(state));
}

TEST_CASE("two orders of two operators with the same base: the first one wins")
{
    // Guards against an order that undoes a concurrent one, which its operator has not seen.
    control_state state;
    send_order(state, true);
    auto const base = number_of(state);
    CHECK_FALSE(send(state, true, base).is_outdated);
    auto const second = send(state, false, base);
    CHECK(second.is_outdated);
    CHECK(is_evacuated(state));
    CHECK(send(state, false, second.number).is_changed);
}

TEST_CASE("numbers rise while the clock of the leader stands still")
{
    // Guards against a late order that takes effect since two changes have the same number.
    evacuation_records records;
    for (int i = 0; i < 3; ++i)
    {
        auto const base = evacuation_number(records, hobart);
        CHECK(set_evacuated(records, hobart, i % 2 == 0, start, base) ==
              evacuation_outcome::changed);
        CHECK(evacuation_number(records, hobart) > base);
    }
}

TEST_CASE("a snapshot without numbers refuses late orders as one with numbers does")
{
    // Guards against voters that disagree, and against late orders, after an update.
    control_state state;
    send_order(state, true);
    auto const evacuated = number_of(state);
    send_order(state, false);
    control_state restored;
    restored.restore(snapshot_without_numbers(state));
    CHECK(number_of(restored) == number_of(state));
    CHECK(send(restored, true, evacuated).is_outdated);
    CHECK(send(restored, true, number_of(restored)).is_changed);
}

TEST_CASE("evacuations survive a snapshot and reach daemons without a log")
{
    // Guards against an evacuation that ends with the compaction of the log.
    control_state state;
    send_order(state, true);
    control_state restored;
    restored.restore(state.snapshot());
    CHECK(restored.shared()->evacuations == state.shared()->evacuations);
    auto const status = decode_shared_status(encode(status_of(*state.shared())));
    CHECK(make_shared_state(status, {}, {}).evacuations == state.shared()->evacuations);
}

TEST_CASE("snapshots and statuses of a release without evacuations are read")
{
    // Guards against voters that cannot start, or daemons that cannot follow, during an update.
    control_state state;
    send_order(state, true);
    auto snapshot = open_envelope(envelope_kind::snapshot, state.snapshot());
    REQUIRE(snapshot.at("shared").erase("evacuations") == 1);
    control_state restored;
    restored.restore(make_envelope(envelope_kind::snapshot, snapshot));
    CHECK(restored.applied_index() == state.applied_index());
    CHECK(restored.shared()->evacuations.empty());
    auto status = open_envelope(envelope_kind::shared_status, encode(status_of(*state.shared())));
    REQUIRE(status.erase("evacuations") == 1);
    CHECK(decode_shared_status(make_envelope(envelope_kind::shared_status, status))
              .evacuations.empty());
}
