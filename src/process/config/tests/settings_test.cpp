#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <lagoonladder/config.hpp>

using namespace lagoonladder;
using Catch::Matchers::Contains;
using config::parse_settings;
using config::settings_error;

namespace
{

std::string const base_text = "[vm]\nid = entry-1\ndata_centre = hobart-1\n"
                              "[listen]\nhttp = 127.0.0.1:8101\ncontrol = 127.0.0.1:9101\n"
                              "[security]\noperator_token = o\nendpoint_token = e\n"
                              "cluster_token = c\n";

} // namespace

TEST_CASE("settings are parsed with defaults")
{
    // Guards against a value that is read into the wrong setting, and against a lost default.
    auto const parsed = parse_settings(
        "s.ini", base_text + "[storage]\ndata_folder = data\n"
                             "initial_voters = entry-1@127.0.0.1:9101, entry-2@127.0.0.1:9102\n"
                             "[timing]\nelection_timeout = 300 ms\n[limits]\nmax_body = 2 MiB\n");
    CHECK(parsed.vm == vm_id("entry-1"));
    CHECK(parsed.zone == zone_id("hobart-1"));
    CHECK(parsed.initial_voters.size() == 2);
    CHECK(parsed.election_timeout == milliseconds(300));
    CHECK(parsed.max_body_bytes == 2 * 1024 * 1024);
    CHECK(parsed.endpoint_lease == seconds(5));
}

TEST_CASE("the limits on memory are read")
{
    // Guards against a limit that is left at its default although the settings state another one.
    auto const parsed = parse_settings(
        "s.ini", base_text + "[limits]\nmax_request_memory = 16 MiB\nsocket_buffer = 8 KiB\n");
    CHECK(parsed.max_request_memory == 16 * 1024 * 1024);
    CHECK(parsed.socket_buffer == 8 * 1024);
    CHECK_THROWS_WITH(parse_settings("s.ini", base_text + "[limits]\nmax_request_memory = 1 KiB\n"),
                      Contains("max_request_memory"));
}

TEST_CASE("the time in which orders are sent again is read")
{
    // Guards against new orders that are taken for resent ones.
    CHECK(parse_settings("s.ini", base_text).pass_through.order_resend_time == seconds(5));
    auto const parsed =
        parse_settings("s.ini", base_text + "[pass_through]\norder_resend_time = 4000 ms\n");
    CHECK(parsed.pass_through.order_resend_time == seconds(4));
}

TEST_CASE("the number of disks that may be lost is read")
{
    // Guards against a group that shrinks below the number of voters that its deployment needs.
    CHECK(parse_settings("s.ini", base_text).tolerated_disk_losses == 1);
    auto const parsed = parse_settings("s.ini", base_text + "[fault_tolerance]\ndisks = 2\n");
    CHECK(parsed.tolerated_disk_losses == 2);
    CHECK_THROWS_WITH(parse_settings("s.ini", base_text + "[fault_tolerance]\ndisks = -1\n"),
                      Contains("disks"));
}

TEST_CASE("the exposure limit of new versions is read")
{
    // Guards against a limit that is left at its default although the settings state another one.
    auto const defaults = parse_settings("s.ini", base_text).pass_through;
    CHECK(defaults.exposure_share == 0.1);
    CHECK(defaults.exposure_requests == 50);
    auto const parsed = parse_settings(
        "s.ini", base_text + "[pass_through]\nexposure_share = 0.05\nexposure_requests = 20\n");
    CHECK(parsed.pass_through.exposure_share == 0.05);
    CHECK(parsed.pass_through.exposure_requests == 20);
    CHECK_THROWS_WITH(parse_settings("s.ini", base_text + "[pass_through]\nexposure_share = 1.5\n"),
                      Contains("exposure_share"));
}

TEST_CASE("the admission of calls under overload is off unless the settings switch it on")
{
    // Guards against a change of behaviour of deployments that do not ask for it.
    CHECK_FALSE(parse_settings("s.ini", base_text).pass_through.has_overload_admission);
    auto const section = base_text + "[pass_through]\noverload_admission = ";
    CHECK(parse_settings("s.ini", section + "true\n").pass_through.has_overload_admission);
    CHECK_THROWS_WITH(parse_settings("s.ini", section + "maybe\n"), Contains("overload_admission"));
}

TEST_CASE("engines are ordered by the constant unless the settings ask for measured work")
{
    // Guards against other numbers of engines in deployments that do not ask for it.
    CHECK(parse_settings("s.ini", base_text).pass_through.engine_capacity ==
          config::engine_capacity::fixed);
    auto const section = base_text + "[pass_through]\nengine_capacity = ";
    CHECK(parse_settings("s.ini", section + "measured\n").pass_through.engine_capacity ==
          config::engine_capacity::measured);
    CHECK(parse_settings("s.ini", section + "fixed\n").pass_through.engine_capacity ==
          config::engine_capacity::fixed);
    CHECK_THROWS_WITH(parse_settings("s.ini", section + "many\n"), Contains("engine_capacity"));
}

TEST_CASE("settings errors name file and line")
{
    // Guards against a mistyped key or unit being ignored without an error.
    CHECK_THROWS_WITH(parse_settings("s.ini", base_text + "[log]\nlevle = info\n"),
                      Contains("s.ini:12: unknown key \"levle\""));
    CHECK_THROWS_WITH(parse_settings("s.ini", base_text + "[log]\nlevel = loud\n"),
                      Contains("s.ini:12:"));
    CHECK_THROWS_WITH(parse_settings("s.ini", base_text + "[tuning]\n"),
                      Contains("s.ini:11: unknown section"));
    CHECK_THROWS_WITH(parse_settings("s.ini", base_text + "[timing]\nelection_timeout = 5\n"),
                      Contains("s.ini:12: key \"election_timeout\""));
    CHECK_THROWS_WITH(parse_settings("s.ini", base_text + "[timing]\nelection_timeout = 5 ms\n"),
                      Contains("must be from 150 ms to 30 s"));
    CHECK_THROWS_WITH(parse_settings("s.ini", base_text + "[limits]\nmax_connections = many\n"),
                      Contains("must be a whole number from 8 to 16384"));
    CHECK_THROWS_WITH(parse_settings("s.ini", base_text + "[peers]\nseeds = localhost:1\n"),
                      Contains("is not an address"));
    CHECK_THROWS_WITH(parse_settings("s.ini", base_text + "[storage]\ndata_folder = d\n"),
                      Contains("needs initial_voters"));
    CHECK_THROWS_WITH(parse_settings("s.ini", base_text + "[vm]\nid = x\n"),
                      Contains("s.ini:11: duplicate section"));
    CHECK_THROWS_WITH(parse_settings("s.ini", "[vm]\nid = entry-1\n"), Contains("data_centre"));
    CHECK_THROWS_AS(config::load_settings("missing.ini"), settings_error);
}

TEST_CASE("the settings parser accepts any text or throws settings_error")
{
    // Guards against a crash, or another exception, on malformed settings.
    rc::prop("parse_settings returns or throws settings_error",
             [](std::string const& tail)
             {
                 try
                 {
                     parse_settings("s.ini", base_text + tail);
                 }
                 catch (settings_error const&)
                 {
                 }
             });
}

TEST_CASE("the pace of started endpoints and the bound of cold ones are read")
{
    // Guards against a bound that is left at its default although the settings state another one.
    auto const defaults = parse_settings("s.ini", base_text).pass_through;
    CHECK(defaults.start_pace == config::start_pace::fixed);
    CHECK(defaults.cold_overshoot == 1.5);
    CHECK(defaults.cold_slack == 5);
    auto const section = base_text + "[pass_through]\n";
    auto const parsed = parse_settings(
        "s.ini", section + "start_pace = learned\ncold_overshoot = 1.25\ncold_slack = 2\n");
    CHECK(parsed.pass_through.start_pace == config::start_pace::learned);
    CHECK(parsed.pass_through.cold_overshoot == 1.25);
    CHECK(parsed.pass_through.cold_slack == 2);
    for (auto const* wrong : {"start_pace = quick", "cold_overshoot = -1", "cold_slack = many"})
        CHECK_THROWS_WITH(parse_settings("s.ini", section + wrong + "\n"),
                          Contains(std::string(wrong).substr(0, 10)));
}

TEST_CASE("the data centres of the deployment and their regions are read")
{
    // Guards against an evacuation of a data centre of the deployment that is refused as unknown.
    CHECK(parse_settings("s.ini", base_text).data_centres.empty());
    CHECK(parse_settings("s.ini", base_text + "[data_centres]\n").data_centres.empty());
    auto const parsed =
        parse_settings("s.ini", base_text + "[data_centres]\nhob-a = tas\nsyd-a = nsw\n");
    REQUIRE(parsed.data_centres.size() == 2);
    CHECK(parsed.data_centres.at(data_centre_id("hob-a")) == region_id("tas"));
}
