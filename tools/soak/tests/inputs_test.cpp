#include <catch2/catch.hpp>

#include <algorithm>

#include <lagoonladder/soak.hpp>

using namespace lagoonladder;
using namespace lagoonladder::soak;

namespace
{

nlohmann::json const fields = {{"ip", "127.1.2.3"},
                               {"ports", {7600, 7615}},
                               {"is_first", false},
                               {"none", nullptr},
                               {"limits", {{"share", 0.5}}}};

} // namespace

TEST_CASE("a template is filled with values and sections")
{
    CHECK(fill_template("a = {{ip}}:{{ports.1}}\n", fields) == "a = 127.1.2.3:7615\n");
    CHECK(fill_template("{{ports}} {{limits.share}} {{is_first}} {{missing}}", fields) ==
          "7600,7615 0.5 false ");
    CHECK(fill_template("{{#ip}}\nx = {{ip}}\n{{/ip}}\ny\n", fields) == "x = 127.1.2.3\ny\n");
    CHECK(fill_template("{{#is_first}}\nx\n{{/is_first}}\ny\n", fields) == "y\n");
    CHECK(fill_template("{{#none}}x{{/none}}{{^none}}y{{/none}}", fields) == "y");
}

TEST_CASE("a template with an unsupported form is refused")
{
    CHECK_THROWS_AS(fill_template("{{ip|json}}", fields), input_error);
    CHECK_THROWS_AS(fill_template("{{#ports}}{{/ports}}", fields), input_error);
    CHECK_THROWS_AS(fill_template("{{#ip}}", fields), input_error);
    CHECK_THROWS_AS(fill_template("{{ip", fields), input_error);
}

TEST_CASE("the same seed draws the same faults, within their limits")
{
    for (auto const target : {fault_target::core, fault_target::other})
    {
        std::mt19937_64 one(7);
        std::mt19937_64 two(7);
        std::set<fault_kind> kinds;
        for (int i = 0; i < 1000; ++i)
        {
            auto const fault = draw_fault(one, target, 4);
            auto const same = draw_fault(two, target, 4);
            CHECK(fault.kind == same.kind);
            CHECK(fault.length == same.length);
            CHECK(fault.victim < 4);
            CHECK(fault.length <= seconds(5));
            if (fault.kind == fault_kind::kill_core)
                CHECK(fault.length < seconds(1));
            kinds.insert(fault.kind);
        }
        CHECK(kinds.contains(fault_kind::lose_disk) == (target == fault_target::core));
        CHECK(kinds.size() == (target == fault_target::core ? 8U : 5U));
    }
}

TEST_CASE("versions rise, name a route once and differ from the one before by what they say")
{
    std::mt19937_64 random(3);
    configuration_series series({"a", "b"});
    std::set<std::string> known;
    std::set<std::string> before;
    config_version newest{};
    for (int i = 0; i < 300; ++i)
    {
        auto const change = series.next_change(random);
        CHECK(change.version > newest);
        newest = change.version;
        auto expected = before;
        for (auto const& route : change.removed)
            CHECK(expected.erase(route) == 1);
        for (auto const& route : change.added)
        {
            CHECK(known.insert(route).second);
            expected.insert(route);
        }
        before = series.routes(change.version);
        CHECK(before == expected);
        CHECK(!before.empty());
        CHECK(before.size() < 20);
    }
}

TEST_CASE("a content names its version, its routes and defined services only")
{
    std::mt19937_64 random(3);
    configuration_series series({"a", "b"});
    auto const change = series.next_change(random);
    auto const document = nlohmann::json::parse(series.content(change.version));
    CHECK(document["version"] == change.version);
    CHECK(document["routes"].size() == change.added.size());
    CHECK(document["tenants"][0]["apiKeys"][0] == call_key);
    for (auto const& route : document["routes"])
        CHECK((route["backend"] == "a" || route["backend"] == "b"));
}

TEST_CASE("an invalid content names an unknown service and later versions do not")
{
    std::mt19937_64 random(3);
    configuration_series series({"a"});
    series.next_change(random);
    auto const invalid = series.next_invalid_change(random);
    CHECK(!invalid.valid);
    auto const names_unknown = [&](config_version version)
    {
        auto const document = nlohmann::json::parse(series.content(version));
        return std::any_of(document["routes"].begin(), document["routes"].end(),
                           [](auto const& route) { return route["backend"] != "a"; });
    };
    CHECK(names_unknown(invalid.version));
    CHECK(!names_unknown(series.next_change(random).version));
}

TEST_CASE("a run without a program, a template or a sound network is refused")
{
    run_options options;
    options.binary = "/bin/true";
    options.settings_template = "/nonexistent/template";
    CHECK_THROWS_AS(play(options, [] { return false; }), input_error);
    options.settings_template = "/proc/self/status";
    options.binary = "/nonexistent/program";
    CHECK_THROWS_AS(play(options, [] { return false; }), input_error);
    options.binary = "/bin/true";
    options.network = "127.banana";
    CHECK_THROWS_AS(play(options, [] { return false; }), input_error);
    options.network = "127.92";
    options.entries = 2;
    CHECK_THROWS_AS(play(options, [] { return false; }), input_error);
}
