#include <catch2/catch.hpp>

#include <lagoonladder/version.hpp>

#include "envelope.hpp"

using namespace lagoonladder;
using namespace lagoonladder::version;

namespace
{

data_centre_id const hobart("hob-a");
wall_time const start = parse_wall_time("2026-12-06T06:00:00Z");

bool send_order(control_state& state, bool is_evacuated)
{
    auto const index = state.applied_index() + 1;
    command const sent{start + seconds(index), set_evacuation{hobart, is_evacuated}};
    auto const result = state.apply(index, decode_command(encode(sent)));
    return std::get<evacuation_result>(decode_command_result(encode(result))).is_changed;
}

} // namespace

TEST_CASE("a resent start or end of an evacuation changes nothing")
{
    // Guards against a resent order that restarts the evacuation, or makes each daemon read the
    // state again.
    control_state state;
    CHECK_FALSE(send_order(state, false));
    CHECK(state.shared()->evacuations.empty());
    CHECK(send_order(state, true));
    auto const records = state.shared()->evacuations;
    auto const changed_index = state.shared()->changed_index;
    CHECK_FALSE(send_order(state, true));
    CHECK(state.shared()->evacuations == records);
    CHECK(state.shared()->changed_index == changed_index);
    CHECK(send_order(state, false));
    CHECK(evacuated_data_centres(state.shared()->evacuations).empty());
    CHECK_FALSE(send_order(state, false));
    CHECK(send_order(state, true));
    CHECK(is_evacuated(state.shared()->evacuations, hobart));
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
