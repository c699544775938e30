#include <catch2/catch.hpp>

#include "content_calls.hpp"

using namespace lagoonladder;
using namespace lagoonladder::control;

namespace
{

/// About ten parts.
constexpr std::size_t many_routes = 8'000;

/// Parts that the voters stored for other daemons.
part_calls stored_parts(small_system& system)
{
    part_calls sum;
    for (std::size_t i = 0; i < 3; ++i)
    {
        if (system.processes[i])
            add_to(sum, system.calls(i).stored());
    }
    return sum;
}

} // namespace

TEST_CASE("an upload whose leader is lost goes on with the missing parts")
{
    // Guards against uploads that begin anew with each leader, and against a second answer.
    constexpr int parts_before_loss = 4;
    small_system system;
    REQUIRE(is_settled(system));
    auto const stated = make_stated(1, many_routes);
    REQUIRE(parts_of(stated) > parts_before_loss);
    auto const leader = system.leader(3);
    system.calls(leader).uploads_allowed = parts_before_loss;
    auto const answers = std::make_shared<std::atomic<int>>(0);
    auto const is_stored = std::make_shared<std::atomic<bool>>(false);
    system.loop(3).apply_services(stated,
                                  [answers, is_stored](apply_outcome const& result)
                                  {
                                      *is_stored = result && result->problem.empty();
                                      ++*answers;
                                  });
    REQUIRE(eventually([&] { return sum_of(stored_parts(system)) == parts_before_loss; }));
    auto parts = stored_parts(system);
    system.stop(leader);
    REQUIRE(eventually([&] { return *answers > 0; }));
    CHECK(*is_stored);
    add_to(parts, stored_parts(system));
    CHECK(parts.size() == parts_of(stated));
    CHECK(sum_of(parts) == static_cast<int>(parts.size()));
    CHECK(read_text(system.loop(3)) == stated.document);
    CHECK(*answers == 1);
}

TEST_CASE("a resend after a lost upload stores only the missing parts")
{
    // Guards against operators whose every attempt starts with the first part.
    constexpr int parts_before_loss = 3;
    small_system system;
    REQUIRE(is_settled(system));
    auto const stated = make_stated(1, many_routes);
    for (std::size_t i = 0; i < 3; ++i)
        system.calls(i).uploads_allowed = 0;
    system.calls(system.leader(3)).uploads_allowed = parts_before_loss;
    CHECK_FALSE(apply_and_wait(system.loop(3), stated));
    CHECK(sum_of(stored_parts(system)) == parts_before_loss);
    for (std::size_t i = 0; i < 3; ++i)
        system.calls(i).uploads_allowed = 1'000'000;
    auto const again = apply_and_wait(system.loop(3), stated);
    REQUIRE(again);
    CHECK(again->stored);
    CHECK(sum_of(stored_parts(system)) == static_cast<int>(parts_of(stated)));
}

TEST_CASE("two entries that upload the same configuration are both acknowledged")
{
    // Guards against uploads that take each other's parts away, and against a content that
    // comes into force twice.
    small_system system;
    REQUIRE(is_settled(system));
    auto const stated = make_stated(1, many_routes);
    auto first = begin_apply(system.loop(3), stated);
    auto const other = apply_and_wait(system.loop((system.leader(3) + 1) % 3), stated);
    auto const one = first.get();
    REQUIRE(one);
    REQUIRE(other);
    CHECK(one->problem.empty());
    CHECK(other->problem.empty());
    CHECK(one->stored != other->stored);
    CHECK(one->number == 1);
    CHECK(other->number == 1);
}

TEST_CASE("an acknowledged configuration that is resent is acknowledged without its parts")
{
    // Guards against resends that fill the links again.
    small_system system;
    REQUIRE(is_settled(system));
    auto const stated = make_stated(1, many_routes);
    REQUIRE(apply_at_last(system.loop(3), stated));
    auto const before = sum_of(stored_parts(system));
    auto const follower = (system.leader(3) + 1) % 3;
    for (std::size_t const i : {std::size_t{3}, follower})
    {
        auto const again = apply_and_wait(system.loop(i), stated);
        REQUIRE(again);
        CHECK(again->problem.empty());
        CHECK_FALSE(again->stored);
    }
    CHECK(sum_of(stored_parts(system)) == before);
}

TEST_CASE("another content with the same number changes nothing")
{
    // Guards against daemons with different configurations under one number.
    small_system system;
    REQUIRE(is_settled(system));
    auto const first = make_stated(5, many_routes);
    REQUIRE(apply_at_last(system.loop(3), first));
    auto const other = make_stated(5, many_routes, 1);
    auto const result = apply_and_wait(system.loop((system.leader(3) + 1) % 3), other);
    REQUIRE(result);
    CHECK_FALSE(result->stored);
    CHECK(result->number == 5);
    for (std::size_t i = 0; i < 4; ++i)
        CHECK(read_text(system.loop(i)) == first.document);
}

TEST_CASE("large configurations that are sent at once are all acknowledged")
{
    // Guards against uploads that push each other's parts out of the log's state.
    constexpr std::uint64_t versions = 8;
    std::vector<version::service_configuration> stated;
    for (std::uint64_t number = 1; number <= versions; ++number)
        stated.push_back(make_stated(number, many_routes));
    small_system system;
    REQUIRE(is_settled(system));
    std::vector<std::future<apply_outcome>> answers;
    for (auto const& one : stated)
        answers.push_back(begin_apply(system.loop(3), one));
    for (auto& answer : answers)
    {
        auto const result = answer.get();
        REQUIRE(result);
        CHECK(result->problem.empty());
    }
    CHECK(read_text(system.loop(3)) == stated.back().document);
}
