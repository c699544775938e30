#include <catch2/catch.hpp>

#include "content_calls.hpp"

using namespace lagoonladder;
using namespace lagoonladder::control;

namespace
{

/// Gives about ten parts.
constexpr std::size_t many_routes = 8'000;

/// Parts that the voters committed for other daemons.
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

part_calls unconfirmed_parts(small_system& system)
{
    part_calls sum;
    for (std::size_t i = 0; i < 3; ++i)
    {
        if (system.processes[i])
            add_to(sum, system.calls(i).unconfirmed());
    }
    return sum;
}

/// Whether exactly one call stored the part. A call that timed out on a busy machine may have
/// stored it without being counted.
bool is_stored_once(version::content_part const& part, part_calls const& stored,
                    part_calls const& unconfirmed)
{
    auto const found = stored.find(part.offset);
    if (found == stored.end())
        return unconfirmed.contains(part.offset);
    return found->second == 1;
}

} // namespace

TEST_CASE("an upload whose leader is lost continues with the missing parts")
{
    // Guards against uploads that restart from the first part with each new leader, and against a
    // second call of the handler.
    constexpr int parts_before_loss = 4;
    small_system system;
    REQUIRE(becomes_ready(system));
    auto const configuration = make_configuration(1, many_routes);
    REQUIRE(part_count(configuration) > parts_before_loss);
    auto const leader = system.leader(3);
    system.calls(leader).remaining_uploads = parts_before_loss;
    auto const handler_calls = std::make_shared<std::atomic<int>>(0);
    auto const is_stored = std::make_shared<std::atomic<bool>>(false);
    system.loop(3).apply_services(configuration,
                                  [handler_calls, is_stored](optional_apply_result const& result)
                                  {
                                      *is_stored = result && result->problem.empty();
                                      ++*handler_calls;
                                  });
    REQUIRE(eventually([&] { return total_calls(stored_parts(system)) == parts_before_loss; }));
    // A part whose reply is lost with the leader is sent again, since its outcome is unknown. Each
    // reply lets the upload send a further part, so as many refused parts show that all arrived.
    REQUIRE(eventually([&] { return system.calls(leader).refused().size() == parts_before_loss; }));
    auto parts = stored_parts(system);
    system.stop(leader);
    REQUIRE(eventually([&] { return *handler_calls > 0; }));
    CHECK(*is_stored);
    add_to(parts, stored_parts(system));
    CHECK(parts.size() == part_count(configuration));
    CHECK(total_calls(parts) == static_cast<int>(parts.size()));
    CHECK(read_document(system.loop(3)) == configuration.document);
    CHECK(*handler_calls == 1);
}

TEST_CASE("a retry after a failed upload stores only the missing parts")
{
    // Guards against attempts of an operator that each restart from the first part.
    constexpr int parts_before_loss = 3;
    small_system system;
    REQUIRE(becomes_ready(system));
    auto const configuration = make_configuration(1, many_routes);
    for (std::size_t i = 0; i < 3; ++i)
        system.calls(i).remaining_uploads = 0;
    system.calls(system.leader(3)).remaining_uploads = parts_before_loss;
    CHECK_FALSE(apply_and_wait(system.loop(3), configuration));
    CHECK(total_calls(stored_parts(system)) + total_calls(unconfirmed_parts(system)) ==
          parts_before_loss);
    for (std::size_t i = 0; i < 3; ++i)
        system.calls(i).remaining_uploads = 1'000'000;
    auto const again = apply_and_wait(system.loop(3), configuration);
    REQUIRE(again);
    CHECK(again->stored);
    auto const stored = stored_parts(system);
    auto const unconfirmed = unconfirmed_parts(system);
    for (auto const& part : version::split(version::make_apply_command(configuration).content))
        CHECK(is_stored_once(part, stored, unconfirmed));
}

TEST_CASE("two entries that upload the same configuration are both acknowledged")
{
    // Guards against concurrent uploads that discard each other's parts, and against a content that
    // comes into force twice.
    small_system system;
    REQUIRE(becomes_ready(system));
    auto const configuration = make_configuration(1, many_routes);
    auto pending_result = begin_apply(system.loop(3), configuration);
    auto const second = apply_and_wait(system.loop((system.leader(3) + 1) % 3), configuration);
    auto const first = pending_result.get();
    REQUIRE(first);
    REQUIRE(second);
    CHECK(first->problem.empty());
    CHECK(second->problem.empty());
    CHECK(first->stored != second->stored);
    CHECK(first->number == 1);
    CHECK(second->number == 1);
}

TEST_CASE("an acknowledged configuration is acknowledged again without its parts")
{
    // Guards against repeated requests that transfer all parts over the links again.
    small_system system;
    REQUIRE(becomes_ready(system));
    auto const configuration = make_configuration(1, many_routes);
    REQUIRE(apply_until_acknowledged(system.loop(3), configuration));
    auto const before = total_calls(stored_parts(system));
    auto const follower = (system.leader(3) + 1) % 3;
    for (std::size_t const i : {std::size_t{3}, follower})
    {
        auto const again = apply_and_wait(system.loop(i), configuration);
        REQUIRE(again);
        CHECK(again->problem.empty());
        CHECK_FALSE(again->stored);
    }
    CHECK(total_calls(stored_parts(system)) == before);
}

TEST_CASE("another content with the same number changes nothing")
{
    // Guards against daemons that hold different configurations with the same number.
    small_system system;
    REQUIRE(becomes_ready(system));
    auto const first = make_configuration(5, many_routes);
    REQUIRE(apply_until_acknowledged(system.loop(3), first));
    auto const other = make_configuration(5, many_routes, 1);
    auto const result = apply_and_wait(system.loop((system.leader(3) + 1) % 3), other);
    REQUIRE(result);
    CHECK_FALSE(result->stored);
    CHECK(result->number == 5);
    for (std::size_t i = 0; i < 4; ++i)
        CHECK(read_document(system.loop(i)) == first.document);
}

TEST_CASE("large configurations that are sent concurrently are all acknowledged")
{
    // Guards against uploads that evict each other's parts from the replicated state.
    constexpr std::uint64_t configuration_count = 8;
    std::vector<version::service_configuration> configurations;
    for (std::uint64_t number = 1; number <= configuration_count; ++number)
        configurations.push_back(make_configuration(number, many_routes));
    small_system system;
    REQUIRE(becomes_ready(system));
    std::vector<std::future<optional_apply_result>> results;
    for (auto const& configuration : configurations)
        results.push_back(begin_apply(system.loop(3), configuration));
    for (auto& pending_result : results)
    {
        auto const result = pending_result.get();
        REQUIRE(result);
        CHECK(result->problem.empty());
    }
    CHECK(read_document(system.loop(3)) == configurations.back().document);
}
