#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <lagoonladder/base.hpp>

using namespace lagoonladder;
using Catch::Matchers::Contains;

TEST_CASE("durations need a known unit")
{
    // Guards against a bare number being read in an unintended unit.
    CHECK(parse_duration("150 ms") == milliseconds(150));
    CHECK(parse_duration("2s") == seconds(2));
    CHECK_THROWS_AS(parse_duration("2"), parse_error);
    CHECK_THROWS_AS(parse_duration("2 parsecs"), parse_error);
    CHECK_THROWS_AS(parse_duration("-1 s"), parse_error);
    CHECK_THROWS_AS(parse_duration("99999999999999999 h"), parse_error);
}

TEST_CASE("durations are formatted as whole numbers in the largest possible unit")
{
    // Guards against error messages with bounds that are rounded or hard to read.
    CHECK(format_duration(milliseconds(150)) == "150 ms");
    CHECK(format_duration(seconds(90)) == "90 s");
    CHECK(format_duration(std::chrono::hours(2)) == "2 h");
}

TEST_CASE("wall times are parsed and formatted in UTC")
{
    // Guards against a dependence on the local time zone and against impossible dates.
    CHECK(format_wall_time(parse_wall_time("2026-12-05T06:00:00Z")) ==
          "2026-12-05T06:00:00.000000Z");
    CHECK_THROWS_AS(parse_wall_time("2026-13-05T06:00:00Z"), parse_error);
    CHECK_THROWS_AS(parse_wall_time("tomorrow"), parse_error);
    CHECK_THROWS_AS(parse_wall_time("2026-02-31T00:00:00Z"), parse_error);
    CHECK_THROWS_AS(parse_wall_time("2026-02-29T00:00:00Z"), parse_error);
    CHECK_THROWS_AS(parse_wall_time("2026-04-31T00:00:00Z"), parse_error);
    CHECK(format_wall_time(parse_wall_time("2028-02-29T00:00:00Z")) ==
          "2028-02-29T00:00:00.000000Z");
}

TEST_CASE("INI errors name file and line")
{
    // Guards against duplicate or misplaced input being dropped without an error.
    CHECK_THROWS_WITH(parse_ini("a.ini", "[vm]\nid = x\n[vm]\n"),
                      Contains("a.ini:3: duplicate section"));
    CHECK_THROWS_WITH(parse_ini("a.ini", "[vm]\nid = x\nid = y\n"),
                      Contains("a.ini:3: duplicate key"));
    CHECK_THROWS_WITH(parse_ini("a.ini", "id = x\n"), Contains("a.ini:1: key \"id\""));
    CHECK_THROWS_WITH(parse_ini("a.ini", "[vm]\njunk\n"), Contains("a.ini:2: expected"));
    CHECK_THROWS_WITH(parse_ini("a.ini", "[vm]\n[listen\n"), Contains("a.ini:2:"));
    CHECK_THROWS_WITH(parse_ini("a.ini", "[vm]\nid = " + std::string(400, 'x')),
                      Contains("a.ini:2: the line is longer"));
    CHECK_THROWS_WITH(load_ini("no-such-file.ini"), Contains("cannot be read"));
}

TEST_CASE("INI sections keep kind, name and lines")
{
    // Guards against errors that name the wrong line, for instance after an indented key.
    auto const document = parse_ini("a.ini", "; comment\n[service booking desk]\nkind = plain\n"
                                             "  deadline = 2 s ; inline\n");
    auto const* section = document.find("service", "booking desk");
    REQUIRE(section != nullptr);
    CHECK(section->line == 2);
    REQUIRE(section->find("deadline") != nullptr);
    CHECK(section->find("deadline")->value == "2 s");
    CHECK(section->find("deadline")->line == 4);
    CHECK_THROWS_WITH(document.require_known_keys(*section, {"kind"}),
                      Contains("a.ini:4: unknown key \"deadline\""));
}

TEST_CASE("hybrid time stamps never decrease and ignore a clock that is far ahead")
{
    // Guards against one machine with a wrong clock advancing the time stamps of all others.
    hybrid_clock clock;
    auto const start = wall_time(seconds(1000));
    auto const first = clock.tick(start);
    auto const merged = clock.merge(start, {start + seconds(5), 3});
    CHECK(merged > first);
    CHECK(merged.wall == start + seconds(5));
    CHECK(clock.merge(start, {start + std::chrono::hours(2), 0}).wall == start + seconds(5));
    CHECK(clock.tick(start - seconds(50)) > merged);
}

TEST_CASE("the INI parser accepts any bytes or throws parse_error")
{
    // Guards against a crash or an endless loop on malformed input.
    rc::prop("parse_ini returns or throws parse_error",
             [](std::string const& text)
             {
                 try
                 {
                     parse_ini("fuzz.ini", text);
                 }
                 catch (parse_error const& problem)
                 {
                     RC_ASSERT(std::string(problem.what()).find("fuzz.ini:") == 0);
                 }
             });
}

TEST_CASE("a violated invariant calls the handler")
{
    // Guards against a violation that goes unnoticed.
    set_invariant_handler([](std::string const& message) { throw error(message); });
    CHECK_THROWS_WITH(invariant(false, "broken"), "broken");
    CHECK_NOTHROW(invariant(true, "fine"));
    set_invariant_handler({});
}
