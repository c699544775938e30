#include <thread>

#include <catch2/catch.hpp>

#include "control_fixture.hpp"

using namespace lagoonladder;
using namespace lagoonladder::control;

namespace
{

version::apply_service_map make_pass_through(std::uint64_t number)
{
    version::service_configuration configuration;
    configuration.map.number = number;
    version::pass_through_service service;
    service.name = service_name("model");
    configuration.map.services = {service};
    configuration.document = "document " + std::to_string(number);
    return version::make_apply_command(configuration);
}

std::string read_document(control_thread& loop)
{
    auto const promise = std::make_shared<std::promise<std::string>>();
    auto future = promise->get_future();
    loop.read_services([promise](std::shared_ptr<std::string const> const& document)
                       { promise->set_value(document ? *document : std::string()); });
    if (future.wait_for(seconds(10)) != std::future_status::ready)
        throw std::runtime_error("the handler of a read was not called");
    return future.get();
}

/// Runs a move while recording the traffic that entries would have at its current share. Returns
/// the final state of the move, or `running` after 12 s.
version::move_state run_move(double new_version_failure_rate)
{
    small_system system;
    commit_and_wait(system.loop(3), make_pass_through(1), seconds(10));
    commit_and_wait(
        system.loop(3),
        version::start_service_move{service_name("model"), version_name("v2"), seconds(8)},
        seconds(10));
    seeded_random random(7);
    auto const state = [&]
    {
        auto const shared = system.loop(3).view()->shared;
        return shared->moves.empty() ? version::move_state::running : shared->moves[0].state;
    };
    auto const end = std::chrono::steady_clock::now() + std::chrono::seconds(12);
    while (state() == version::move_state::running && std::chrono::steady_clock::now() < end)
    {
        auto const shared = system.loop(3).view()->shared;
        auto const share = shared->moves.empty() ? 0 : shared->moves[0].share;
        for (std::size_t i = 0; i < 10; ++i)
        {
            bool const is_new = random.unit() < share;
            version::traffic_sample sample;
            sample.service = service_name("model");
            sample.version = version_name(is_new ? "v2" : "");
            sample.route = route_name("r");
            sample.requests = 1;
            sample.sent = 1;
            sample.failures = is_new && random.unit() < new_version_failure_rate ? 1 : 0;
            sample.whole_call.add(milliseconds(20));
            system.loop(i % 4).record_traffic(sample);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return state();
}

} // namespace

TEST_CASE("a short move of a pass-through service finishes within its duration")
{
    // Guards against moves of a few seconds that never leave their first step.
    CHECK(run_move(0) == version::move_state::finished);
}

TEST_CASE("a failing version of a pass-through service is reversed")
{
    // Guards against a short move that finishes before enough failures have been counted.
    CHECK(run_move(0.5) == version::move_state::reversed);
}

TEST_CASE("a pass-through configuration survives the loss of its leader")
{
    // Guards against an acknowledged configuration that is lost or reverts to an older one.
    small_system system;
    commit_and_wait(system.loop(3), make_pass_through(7), seconds(10));
    system.stop(0);
    // Reads fail until a leader is elected.
    CHECK(eventually([&] { return !read_document(system.loop(3)).empty(); }));
    CHECK(read_document(system.loop(3)) == "document 7");
    auto const older = std::get<version::apply_map_result>(
        commit_and_wait(system.loop(3), make_pass_through(5), seconds(10)));
    CHECK_FALSE(older.stored);
    CHECK(read_document(system.loop(3)) == "document 7");
}

TEST_CASE("an entry reports to the leader once a second")
{
    // Guards against reports that use a large fraction of the leader's processor time: 86 entries
    // that reported every 500 ms sent it 172 calls per second.
    small_system system;
    for (std::size_t i = 0; i < 4; ++i)
        CHECK(eventually([&] { return system.loop(i).view()->ready; }));
    system.loop(3).count_usage(account_id("a"));
    CHECK(eventually([&] { return system.reports() > 0; }));
    auto const before = system.reports();
    std::this_thread::sleep_for(milliseconds(3'250));
    CHECK(system.reports() - before >= 2);
    CHECK(system.reports() - before <= 4);
}

TEST_CASE("a configuration that is too large is refused and stops no daemon")
{
    // Guards against a request of an operator that stops the control thread of each daemon that
    // receives it.
    small_system system;
    commit_and_wait(system.loop(3), make_pass_through(7), seconds(10));
    version::service_configuration large;
    large.map.number = 8;
    seeded_random random(1);
    while (large.document.size() < 3 * version::max_content_bytes)
        large.document += std::to_string(random.next());
    auto const promise = std::make_shared<std::promise<std::string>>();
    auto future = promise->get_future();
    system.loop(3).apply_services(
        large,
        [promise](std::optional<version::apply_map_result> const& result) {
            promise->set_value(result ? result->problem : "no quorum confirmed the configuration");
        });
    REQUIRE(future.wait_for(seconds(10)) == std::future_status::ready);
    CHECK_THAT(future.get(), Catch::Matchers::Contains("too large"));
    CHECK(read_document(system.loop(3)) == "document 7");
    commit_and_wait(system.loop(3), make_pass_through(9), seconds(10));
    CHECK(read_document(system.loop(3)) == "document 9");
}
