#include <catch2/catch.hpp>

#include <lagoonladder/version.hpp>

using namespace lagoonladder;
using namespace lagoonladder::version;
using Catch::Matchers::Contains;

namespace
{

wall_time const start = parse_wall_time("2026-12-05T06:00:00Z");

/// Applies commands at successive indices, one second apart.
struct fixture
{
    command_result run(command_body body)
    {
        this->now += seconds(1);
        return this->state.apply(++this->index, {this->now, std::move(body)});
    }

    apply_result apply(std::uint64_t base, std::string const& version_and_keys,
                       char const* operation)
    {
        return std::get<apply_result>(this->run(apply_configuration{
            generation(base), "c.ini", "[service a]\nversion = " + version_and_keys,
            operation_id(operation)}));
    }

    bool update(std::uint64_t move_generation, double share,
                move_state new_state = move_state::running)
    {
        return std::get<update_move_result>(
                   this->run(update_move{
                       service_name("a"), generation(move_generation), share, new_state, "r", {}}))
            .applied;
    }

    traffic_split split() const { return this->state.shared()->splits.at(service_name("a")); }
    move_record last_move() const { return this->state.shared()->moves.back(); }

    control_state state;
    std::uint64_t index = 0;
    wall_time now = start;
};

} // namespace

TEST_CASE("the first version is set directly and a later one starts a move")
{
    fixture f;
    CHECK(f.apply(0, "1", "o1").outcome == apply_outcome::stored);
    CHECK(f.state.shared()->moves.empty());
    CHECK(f.split().stable == version_name("1"));
    CHECK(f.apply(1, "2", "o2").generation == generation(2));
    CHECK(f.last_move().from == version_name("1"));
    CHECK(f.last_move().share == 0);
    CHECK(f.last_move().finish_by == f.now + std::chrono::minutes(10));
    // Guards against a move that restarts when an unrelated key changes.
    CHECK(f.update(2, 0.5));
    f.apply(2, "2\nwatch = 1 min", "o3");
    CHECK(f.split().candidate_share == 0.5);
    CHECK(f.update(2, 1));
    CHECK(f.last_move().full_since == f.now);
    CHECK(f.update(2, 1, move_state::finished));
    CHECK(f.split().stable == version_name("2"));
    CHECK(f.split().candidate == version_name());
    CHECK_FALSE(f.update(2, 0.1));
}

TEST_CASE("a change during a move reverses it")
{
    fixture f;
    f.apply(0, "1", "o1");
    f.apply(1, "2", "o2");
    f.apply(2, "1", "o3");
    CHECK(f.last_move().state == move_state::reversed);
    CHECK(f.last_move().reason == "configuration");
    CHECK(f.split().candidate == version_name());
    f.apply(3, "2", "o4");
    f.apply(4, "3", "o5");
    CHECK(f.state.shared()->moves.size() == 3);
    CHECK(f.last_move().from == version_name("1"));
    CHECK(f.last_move().to == version_name("3"));
    // Guards against an update of an older move that changes the new one.
    CHECK_FALSE(f.update(4, 0, move_state::reversed));
    CHECK(f.update(5, 0, move_state::reversed));
    // Guards against an unrelated change that starts the reversed move again.
    f.apply(5, "3\nwatch = 1 min", "o6");
    CHECK(f.last_move().state == move_state::reversed);
    CHECK(f.split().stable == version_name("1"));
}

TEST_CASE("a finish time in the past is invalid only for a move")
{
    // Guards against a configuration that can no longer be changed once a finish time has passed.
    fixture f;
    std::string const past = "\nfinish_by = 2026-12-05T05:00:00Z";
    CHECK(f.apply(0, "1" + past, "o1").outcome == apply_outcome::stored);
    CHECK(f.apply(1, "1" + past + "\nwatch = 1 min", "o2").outcome == apply_outcome::stored);
    auto const result = f.apply(2, "2" + past, "o3");
    CHECK(result.outcome == apply_outcome::invalid);
    CHECK_THAT(result.detail, Contains("has passed"));
    CHECK_THAT(f.apply(2, "", "o4").detail, Contains("c.ini:2"));
}

TEST_CASE("a change to an old generation is refused and names the operation stored instead")
{
    // Guards against lost updates when operators apply changes concurrently.
    fixture f;
    f.apply(0, "1", "o1");
    f.apply(1, "2", "o2");
    f.apply(2, "3", "o3");
    auto const refused = f.apply(1, "4", "o4");
    CHECK(refused.outcome == apply_outcome::conflict);
    CHECK(refused.winner_operation == operation_id("o2"));
    CHECK(refused.winner_digest == sha256_hex("[service a]\nversion = 2"));
    CHECK(f.apply(1, "2", "o2").outcome == apply_outcome::repeated);
    CHECK(f.apply(1, "2", "o2").generation == generation(2));
    CHECK(f.apply(3, "5", "o2").outcome == apply_outcome::invalid);
    CHECK(f.apply(9, "5", "o5").outcome == apply_outcome::invalid);
}

TEST_CASE("two leaders never reserve the same order sequences")
{
    // Guards against two leaders that send orders with the same fencing token.
    fixture f;
    auto const reserve = [&](std::uint64_t term) {
        return std::get<reserve_orders_result>(f.run(reserve_orders{term, 10})).first_sequence;
    };
    CHECK(reserve(1) == 1);
    CHECK(reserve(2) == 11);
    CHECK(reserve(1) == 0);
    CHECK(f.state.next_order_sequence() == 21);
}

TEST_CASE("a request keeps its version at equal shares")
{
    // Guards against a retry that reaches the other version, and against a wrong share of requests.
    traffic_split const split{version_name("1"), version_name("2"), 0.25};
    int candidates = 0;
    for (int i = 0; i < 10'000; ++i)
    {
        request_id const id("vm-" + std::to_string(i));
        candidates += split.choose(id) == split.candidate ? 1 : 0;
        REQUIRE(split.choose(id) == split.choose(id));
    }
    CHECK(candidates > 2300);
    CHECK(candidates < 2700);
    CHECK(traffic_split{version_name("1"), version_name("2"), 1}.choose(request_id("x")) ==
          version_name("2"));
}

TEST_CASE("damaged bytes are rejected")
{
    // Guards against a flipped bit on disk or on the wire that decodes as another value.
    fixture f;
    f.apply(0, "1", "o1");
    f.apply(1, "2", "o2");
    command const entry{
        start,
        update_move{service_name("a"), generation(2), 0.5, move_state::running, "r", {{"n", "1"}}}};
    auto const check = [](std::string const& bytes, auto decode)
    {
        decode(bytes);
        for (std::size_t i = 0; i < bytes.size(); ++i)
        {
            auto damaged = bytes;
            damaged[i] = static_cast<char>(damaged[i] ^ (1 << (i % 8)));
            REQUIRE_THROWS_AS(decode(damaged), parse_error);
            REQUIRE_THROWS_AS(decode(bytes.substr(0, i)), parse_error);
        }
    };
    check(encode(entry), [](auto const& b) { return decode_command(b); });
    check(encode(command_result(apply_result{})),
          [](auto const& b) { return decode_command_result(b); });
    auto const status = encode(status_of(*f.state.shared()));
    check(status, [](auto const& b) { return decode_shared_status(b); });
    check(f.state.snapshot(), [](auto const& b) { control_state().restore(b); });
    CHECK_THROWS_AS(decode_command(status), parse_error);
    CHECK(encode(decode_command(encode(entry))) == encode(entry));
    auto const rebuilt = make_shared_state(decode_shared_status(status), shared_state(),
                                           {f.state.shared()->configuration_content});
    CHECK(rebuilt.configuration.services.size() == 1);
}

TEST_CASE("the bounds of latency buckets double")
{
    // Guards against latencies that are counted in a wrong bucket or beyond the last one.
    latency_histogram histogram;
    histogram.add(microseconds(300));
    histogram.add(milliseconds(1));
    histogram.add(std::chrono::hours(2));
    CHECK(histogram.counts[0] == 1);
    CHECK(histogram.counts[1] == 1);
    CHECK(histogram.counts.back() == 1);
    CHECK(histogram.quantile(0.5) == milliseconds(2));
    CHECK(nlohmann::json(histogram).get<latency_histogram>().counts == histogram.counts);
    CHECK(latency_histogram().quantile(0.5) == duration(0));
}
