#include <catch2/catch.hpp>

#include "placement_explanations.hpp"

using namespace lagoonladder;
using namespace lagoonladder::daemon;
using Catch::Matchers::Contains;

TEST_CASE("a query is read with all its fields")
{
    // Guards against an explanation of a call without a part of its description.
    auto const query = parse_placement_query(
        R"({"host": "h", "path": "/p", "method": "POST", "account": "a", "deadline_ms": 500,
            "tokens": {"prompt": 100, "max_output": 20},
            "prompt": [{"hash": "ffffffffffffffff", "tokens": 90}]})");
    CHECK(query.host == "h");
    CHECK(query.path == "/p");
    CHECK(query.account == account_id("a"));
    CHECK(query.time_left == duration(milliseconds(500)));
    REQUIRE(query.tokens);
    CHECK(query.tokens->max_output == 20);
    REQUIRE(query.prompt.size() == 1);
    CHECK(query.prompt[0] == request::prompt_part{0xffff'ffff'ffff'ffff, 90});
    CHECK_FALSE(parse_placement_query(R"({"host": "h", "path": "/p"})").account);
}

TEST_CASE("a malformed query is refused with the name of the field")
{
    // Guards against wrong numbers, such as a negative one read as a large one, and against a crash
    // of the traffic thread.
    auto const parse = [](std::string const& fields)
    { return parse_placement_query(R"({"host": "h", "path": "/p")" + fields + "}"); };
    CHECK_THROWS_WITH(parse_placement_query("["), Contains("JSON object"));
    CHECK_THROWS_WITH(parse_placement_query("[]"), Contains("JSON object"));
    CHECK_THROWS_WITH(parse_placement_query(R"({"path": "/p"})"), Contains("host"));
    CHECK_THROWS_WITH(parse_placement_query(R"({"host": "h", "path": "p"})"), Contains("path"));
    CHECK_THROWS_WITH(parse(R"(, "account": "")"), Contains("account"));
    CHECK_THROWS_WITH(parse(R"(, "deadline_ms": -1)"), Contains("deadline_ms"));
    CHECK_THROWS_WITH(parse(R"(, "deadline_ms": 99999999999)"), Contains("deadline_ms"));
    CHECK_THROWS_WITH(parse(R"(, "tokens": {"prompt": 1})"), Contains("tokens"));
    CHECK_THROWS_WITH(parse(R"(, "tokens": {"prompt": 1.5, "max_output": 1})"), Contains("prompt"));
    CHECK_THROWS_WITH(parse(R"(, "prompt": {})"), Contains("prompt"));
    CHECK_THROWS_WITH(parse(R"(, "prompt": [{"hash": "xy", "tokens": 1}])"), Contains("hash"));
    CHECK_THROWS_WITH(parse(R"(, "prompt": [{"hash": "1", "tokens": -1}])"), Contains("tokens"));
    CHECK_THROWS_WITH(parse(R"(, "prompt": [7])"), Contains("prompt part"));
}
