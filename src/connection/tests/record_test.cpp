#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "rows.hpp"

using namespace lagoonladder;
using namespace lagoonladder::connection;
using Catch::Matchers::Contains;

namespace
{

template <class Row>
void check_strict(Row const& row)
{
    nlohmann::json const whole = row;
    REQUIRE(nlohmann::json(whole.get<Row>()) == whole);
    auto extended = whole;
    extended["added_later"] = 1;
    REQUIRE(nlohmann::json(extended.get<Row>()) == whole);
    for (auto const& [name, value] : whole.items())
    {
        auto without = whole;
        without.erase(name);
        CHECK_THROWS_WITH(without.get<Row>(), Contains('"' + name + '"'));
        auto wrong = whole;
        wrong[name] = nlohmann::json::array({1});
        if (!value.is_object())
            CHECK_THROWS_WITH(wrong.get<Row>(), Contains('"' + name + '"'));
    }
}

} // namespace

TEST_CASE("each missing or mistyped field is named")
{
    // Guards against a row that is taken over with a default in place of a field.
    check_strict(load_report{3, 2, 16, 120.5});
    check_strict(make_endpoint("e1", 7, 9));
    check_strict(make_entry("vm-1", "d1", 5, 6, entry_state::leaving));
    CHECK_THROWS_WITH(nlohmann::json(5).get<entry_record>(), Contains("\"vm\""));
    CHECK_THROWS_WITH(nlohmann::json::array().get<load_report>(), Contains("\"running\""));
}

TEST_CASE("numbers out of range and empty ids are refused")
{
    // Guards against a value that is cut off silently: 2^32 slots would read as 0.
    nlohmann::json load = load_report{};
    load["slots"] = std::uint64_t(1) << 32;
    CHECK_THROWS_WITH(load.get<load_report>(), Contains("\"slots\""));
    load["slots"] = -1;
    CHECK_THROWS_WITH(load.get<load_report>(), Contains("\"slots\""));
    load["slots"] = 1.5;
    CHECK_THROWS_WITH(load.get<load_report>(), Contains("\"slots\""));
    load["slots"] = 1;
    load["tokens_per_second"] = -1.0;
    CHECK_THROWS_WITH(load.get<load_report>(), Contains("\"tokens_per_second\""));
    nlohmann::json row = make_endpoint("e1", 1, 1);
    row["id"] = "";
    CHECK_THROWS_WITH(row.get<endpoint_record>(), Contains("\"id\""));
    row["id"] = "e1";
    row["state"] = "gone";
    CHECK_THROWS_WITH(row.get<endpoint_record>(), Contains("\"state\""));
}

TEST_CASE("rows survive MessagePack")
{
    // Guards against a codec difference between digests and HTTP answers.
    nlohmann::json const row = make_endpoint("e1", ~std::uint64_t(0), 9);
    auto const decoded = nlohmann::json::from_msgpack(nlohmann::json::to_msgpack(row));
    CHECK(nlohmann::json(decoded.get<endpoint_record>()) == row);
}
