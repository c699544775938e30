#include <catch2/catch.hpp>

#include <cmath>

#include "endpoint_chooser.hpp"

using namespace lagoonladder;
using namespace lagoonladder::proxy;

namespace
{

constexpr std::size_t choice_count = 2000;
/// Samples of an explanation that does not enumerate all combinations.
constexpr std::size_t sample_count = 64;
service_name const service("model");

request::endpoint_pace_options learned_pace()
{
    request::endpoint_pace_options options;
    options.is_learned = true;
    return options;
}

/// A chooser with endpoints, loads, failures and prompts that are drawn at random.
class random_system
{
public:
    explicit random_system(std::uint64_t seed, std::size_t max_new_endpoints = 3)
        : random(seed)
        , chooser(this->random.below(2) == 0 ? request::endpoint_pace_options() : learned_pace())
    {
        version::service_map map;
        version::pass_through_service configured;
        configured.name = service;
        configured.is_engine = this->random.below(2) == 0;
        configured.cold_rate = this->random.below(3) == 0 ? 4 : 0;
        configured.cold_time = seconds(3);
        map.services = {configured};
        this->view.services = std::make_shared<version::service_index const>(std::move(map));
        this->view.data_centre = data_centre_id("dc0");
        this->view.vm = vm_id("vm");
        this->view.serving = {{vm_id("vm"), {}}};
        this->view.entries = 1 + static_cast<std::uint32_t>(this->random.below(3));
        this->route.has_prefix_affinity = this->random.below(2) == 0;
        this->call.id = request_id("call-" + std::to_string(seed));
        this->call.prompt = this->draw_prompt();
        this->add_endpoints(2 + this->random.below(8));
        this->run(seconds(6));
        this->add_endpoints(this->random.below(max_new_endpoints + 1));
        this->run(milliseconds(600));
        this->restrict();
    }

    std::optional<connection::endpoint_record> choose(endpoint_chooser& from)
    {
        return from.choose(this->now, this->view, this->route, service, this->call, {},
                           this->random);
    }

    choice_explanation explain() const
    {
        return this->chooser.explain(this->now, this->view, this->route, service, this->call);
    }

    /// Sends calls for a time, some of which fail.
    void run(duration time)
    {
        for (auto const end = this->now + time; this->now < end; this->now += milliseconds(20))
        {
            this->chooser.pacing().tick(this->now, this->view);
            auto const chosen = this->choose(this->chooser);
            if (!chosen)
                continue;
            this->chooser.record_start(this->now, chosen->id);
            this->chooser.record_sent_prompt(this->now, chosen->id, chosen->incarnation,
                                             this->draw_prompt());
            if (this->random.below(3) > 0)
                this->end_call(*chosen);
        }
    }

    seeded_random random;
    endpoint_chooser chooser;
    traffic_view view;
    version::pass_through_route route;
    incoming_call call;
    time_point now{seconds(100)};

private:
    void add_endpoints(std::size_t count)
    {
        auto& rows = this->view.endpoints[service];
        for (std::size_t i = 0; i < count; ++i)
        {
            connection::endpoint_record record;
            record.id = endpoint_id("e" + std::to_string(rows.size()));
            record.address = network_address(record.id.value());
            record.incarnation = incarnation(1);
            record.version = version_name("v" + std::to_string(this->random.below(2)));
            record.data_centre = data_centre_id("dc" + std::to_string(this->random.below(3)));
            record.load.slots = 4 + static_cast<std::uint32_t>(this->random.below(8));
            rows.push_back(record);
        }
    }

    request::prompt_parts draw_prompt()
    {
        return {{1 + this->random.below(3), 2000}, {10 + this->random.below(1000), 300}};
    }

    void end_call(connection::endpoint_record const& endpoint)
    {
        bool const is_bad = endpoint.id.value() == "e1";
        request::route_outcome outcome;
        outcome.ok = !is_bad || this->random.below(4) == 0;
        outcome.elapsed = milliseconds(20 + static_cast<int>(this->random.below(50)));
        this->chooser.record_end(this->now, service, endpoint.id, outcome);
        connection::load_report load;
        load.running = static_cast<std::uint32_t>(this->random.below(6));
        load.relative_time = 0.5 + this->random.unit();
        if (this->random.below(3) == 0)
            this->chooser.record_load(this->now, endpoint.id, load);
    }

    /// Excludes some endpoints by rules of the view.
    void restrict()
    {
        auto& rows = this->view.endpoints[service];
        if (this->random.below(3) == 0)
            rows[0].state = connection::endpoint_state::leaving;
        if (this->random.below(3) == 0)
            this->view.evacuated = {data_centre_id("dc1")};
        if (this->random.below(4) == 0)
            this->view.splits[service] = {version_name("v0"), version_name("v1"), 0.5};
        if (this->random.below(4) == 0)
            this->chooser.mark_replaced(this->now, rows.back());
        if (this->random.below(4) == 0)
        {
            this->view.regions = {{data_centre_id("dc0"), region_id("r")}};
            this->call.regions = std::set{region_id("r")};
        }
    }
};

std::map<endpoint_id, double> count_choices(random_system& system)
{
    std::map<endpoint_id, double> frequencies;
    for (std::size_t i = 0; i < choice_count; ++i)
    {
        // A choice may begin a probe, which changes the next one.
        auto copy = system.chooser;
        if (auto const chosen = system.choose(copy))
            frequencies[chosen->id] += 1.0 / choice_count;
    }
    return frequencies;
}

/// Checks that chances and frequencies agree within five standard deviations of their difference.
void check_agreement(choice_explanation const& explained,
                     std::map<endpoint_id, double> const& frequencies)
{
    double total = 0;
    for (auto const& row : explained.endpoints)
    {
        auto const found = frequencies.find(row.endpoint->id);
        auto const frequency = found == frequencies.end() ? 0 : found->second;
        // A sampled chance of zero may be a small one.
        auto const variance =
            std::max(explained.is_sampled ? 0.02 : 0.0, row.chance * (1 - row.chance));
        auto const inverse_count =
            1.0 / choice_count + (explained.is_sampled ? 1.0 / sample_count : 0);
        auto const deviation = std::sqrt(variance * inverse_count);
        INFO(row.endpoint->id.value() << " " << to_string(row.rule));
        CHECK(std::abs(frequency - row.chance) <= 5 * deviation + 1e-9);
        CHECK((row.chance > 0) == (row.rule == exclusion::none));
        total += row.chance;
    }
    CHECK(total == Approx(frequencies.empty() ? 0 : 1));
}

} // namespace

TEST_CASE("explained chances agree with the frequencies of choices")
{
    // Guards against an explanation by other rules than those that choose.
    std::set<exclusion> rules;
    std::size_t uncertain = 0;
    for (std::uint64_t seed = 1; seed <= 80; ++seed)
    {
        INFO("seed " << seed);
        random_system system(seed);
        auto const explained = system.explain();
        CHECK(explained.endpoints.size() == system.view.endpoints[service].size());
        CHECK_FALSE(explained.is_sampled);
        check_agreement(explained, count_choices(system));
        for (auto const& row : explained.endpoints)
        {
            rules.insert(row.rule);
            uncertain += row.chance > 0 && row.chance < 0.05 ? 1 : 0;
        }
    }
    // Each rule that the systems are to cover has applied.
    for (auto const rule :
         {exclusion::none, exclusion::leaving, exclusion::evacuated, exclusion::region,
          exclusion::other_version, exclusion::address_taken_over, exclusion::cold,
          exclusion::learned_pace, exclusion::failures, exclusion::cost, exclusion::load})
    {
        INFO(to_string(rule));
        CHECK(rules.contains(rule));
    }
    CHECK(uncertain > 0);
}

TEST_CASE("chances with many starting endpoints are estimated from samples")
{
    // Guards against an explanation that enumerates thousands of combinations on the traffic
    // thread.
    std::size_t sampled = 0;
    for (std::uint64_t seed = 1; seed <= 30; ++seed)
    {
        INFO("seed " << seed);
        random_system system(seed, 30);
        auto const explained = system.explain();
        if (!explained.is_sampled)
            continue;
        ++sampled;
        check_agreement(explained, count_choices(system));
    }
    CHECK(sampled > 0);
}

TEST_CASE("explanations do not change the choices of a seeded run")
{
    // Guards against an explanation that draws random numbers or that updates health, pace, load
    // or prompts.
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        random_system plain(seed);
        random_system explained(seed);
        for (int i = 0; i < 100; ++i)
        {
            plain.run(milliseconds(60));
            explained.explain();
            explained.run(milliseconds(60));
            explained.explain();
            auto const expected = plain.choose(plain.chooser);
            auto const chosen = explained.choose(explained.chooser);
            REQUIRE(expected.has_value() == chosen.has_value());
            if (expected)
                REQUIRE(expected->id == chosen->id);
        }
        CHECK(plain.random.next() == explained.random.next());
    }
}
