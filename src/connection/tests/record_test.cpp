#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <limits>

#include "test_records.hpp"

using namespace lagoonladder;
using namespace lagoonladder::connection;
using Catch::Matchers::Contains;

namespace
{

template <class Record>
void check_field_validation(Record const& record)
{
    nlohmann::json const complete = record;
    REQUIRE(nlohmann::json(complete.get<Record>()) == complete);
    auto extended = complete;
    extended["added_later"] = 1;
    REQUIRE(nlohmann::json(extended.get<Record>()) == complete);
    for (auto const& [name, value] : complete.items())
    {
        auto incomplete = complete;
        incomplete.erase(name);
        CHECK_THROWS_WITH(incomplete.get<Record>(), Contains('"' + name + '"'));
        auto mistyped = complete;
        mistyped[name] = nlohmann::json::array({1});
        if (!value.is_object())
            CHECK_THROWS_WITH(mistyped.get<Record>(), Contains('"' + name + '"'));
    }
}

/// Checks the field that `age`, a member of `record`, is sent as.
template <class Record>
void check_age_validation(Record& record, duration& age)
{
    age = duration::zero();
    CHECK_FALSE(nlohmann::json(record).contains("age_ms"));
    age = milliseconds(2750);
    nlohmann::json row = record;
    CHECK(row["age_ms"] == 2750);
    CHECK(nlohmann::json(row.get<Record>()) == row);
    auto without_age = row;
    without_age.erase("age_ms");
    CHECK(nlohmann::json(without_age.get<Record>()) == without_age);
    for (nlohmann::json const& wrong :
         {nlohmann::json(-1), nlohmann::json(1.5), nlohmann::json("1"),
          nlohmann::json(std::uint64_t(1) << 32)})
    {
        row["age_ms"] = wrong;
        CHECK_THROWS_WITH(row.get<Record>(), Contains("\"age_ms\""));
    }
    age = std::chrono::hours(24 * 365);
    CHECK(nlohmann::json(record)["age_ms"] == std::numeric_limits<std::uint32_t>::max());
}

} // namespace

TEST_CASE("an error names the missing or mistyped field")
{
    // Guards against a record that is accepted with a default value in place of a field.
    check_field_validation(load_report{3, 2, 16, 120.5});
    check_field_validation(make_endpoint("e1", 7, 9));
    check_field_validation(make_entry("vm-1", "d1", 5, 6, entry_state::leaving));
    CHECK_THROWS_WITH(nlohmann::json(5).get<entry_record>(), Contains("\"vm\""));
    CHECK_THROWS_WITH(nlohmann::json::array().get<load_report>(), Contains("\"running\""));
}

TEST_CASE("an entry states its work for engines in an optional field")
{
    // Guards against rows of earlier releases that are rejected, and against work that is lost or
    // misread on the way to the leader.
    auto entry = make_entry("vm-1", "d1");
    CHECK_FALSE(nlohmann::json(entry).contains("engine_work"));
    entry.engine_work[service_name("llm")] = {0.5, 3.25, 14};
    nlohmann::json row = entry;
    CHECK(row.get<entry_record>().engine_work == entry.engine_work);
    row.erase("engine_work");
    CHECK(row.get<entry_record>().engine_work.empty());
    for (auto const* wrong :
         {"5", "null", "{}", "[5]", R"([["llm", 1, 2]])", R"([["llm", -1, 2, 3]])",
          R"([["llm", 1, 2, 4294967296]])", R"([["", 1, 2, 3]])"})
    {
        row["engine_work"] = nlohmann::json::parse(wrong);
        CHECK_THROWS_WITH(row.get<entry_record>(), Contains("\"engine_work\""));
    }
}

TEST_CASE("numbers out of range and empty ids are rejected")
{
    // Guards against silent truncation of a value: 2^32 slots would be read as 0.
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
    nlohmann::json endpoint = make_endpoint("e1", 1, 1);
    endpoint["id"] = "";
    CHECK_THROWS_WITH(endpoint.get<endpoint_record>(), Contains("\"id\""));
    endpoint["id"] = "e1";
    endpoint["state"] = "gone";
    CHECK_THROWS_WITH(endpoint.get<endpoint_record>(), Contains("\"state\""));
}

TEST_CASE("the age of a row is optional and validated")
{
    // Guards against rows of daemons of an earlier release that are dropped, and against an age
    // that makes an entry alive in the future.
    auto endpoint = make_endpoint("e1", 7, 9);
    check_age_validation(endpoint, endpoint.renewal_age);
    auto entry = make_entry("vm-1", "d1", 5, 6);
    check_age_validation(entry, entry.heartbeat_age);
}

TEST_CASE("the cold time of an endpoint is optional and validated")
{
    // Guards against rows of earlier releases that are dropped, and against a cold time that is
    // invented or lost on the way.
    auto record = make_endpoint("e1", 1, 1);
    CHECK_FALSE(nlohmann::json(record).contains("cold_ms"));
    CHECK_FALSE(nlohmann::json(record).get<endpoint_record>().cold_remaining);
    for (duration const cold : {duration(0), duration(milliseconds(1500))})
    {
        record.cold_remaining = cold;
        CHECK(nlohmann::json(record).get<endpoint_record>().cold_remaining == cold);
    }
    nlohmann::json row = record;
    row["cold_ms"] = -1;
    CHECK_THROWS_WITH(row.get<endpoint_record>(), Contains("\"cold_ms\""));
}

TEST_CASE("records are unchanged after MessagePack encoding and decoding")
{
    // Guards against an encoding that differs between digests and HTTP responses.
    nlohmann::json const endpoint = make_endpoint("e1", ~std::uint64_t(0), 9);
    auto const decoded = nlohmann::json::from_msgpack(nlohmann::json::to_msgpack(endpoint));
    CHECK(nlohmann::json(decoded.get<endpoint_record>()) == endpoint);
}
