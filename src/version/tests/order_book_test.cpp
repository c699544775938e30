#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <lagoonladder/version/order_book.hpp>

using namespace lagoonladder;
using namespace lagoonladder::version;

namespace
{

time_point const start(seconds(100));
auto const load_version = order_kind::load_version;

order_target target(int number, bool checks_fencing)
{
    return {endpoint_id("e" + std::to_string(number)), network_address("10.0.0.1:1"),
            incarnation(1), checks_fencing};
}

/// Simulated endpoints, in true time. Calls may be slow or lost, lose only their result, or
/// fail at the leader although they arrive later.
class fake_endpoints
{
public:
    struct call
    {
        int leader;
        order sent;
        bool lost;
        bool result_lost;
    };

    explicit fake_endpoints(random_source& source)
        : random(source)
    {
    }

    void send(duration now, int leader, double clock_rate, order const& sent)
    {
        // The leader closes a call after 2 s of its own clock.
        auto const max_delay = static_cast<std::uint64_t>(2'000'000 / clock_rate);
        auto const delay = this->random.below(this->random.below(3) ? 50'000 : max_delay);
        this->calls.emplace(
            now + duration(static_cast<duration::rep>(delay)),
            call{leader, sent, this->random.below(10) == 0, this->random.below(10) == 0});
        // The connection breaks early, but the endpoint still receives the order.
        if (this->random.below(10) == 0)
            this->calls.emplace(now + milliseconds(1), call{leader, sent, true, false});
    }

    /// Applies the orders that have arrived and returns their results.
    std::vector<std::pair<call, order_result>> deliver(duration now)
    {
        std::vector<std::pair<call, order_result>> results;
        while (!this->calls.empty() && this->calls.begin()->first <= now)
        {
            auto const arrived = this->calls.begin()->second;
            this->calls.erase(this->calls.begin());
            auto const result = arrived.lost ? order_result::failed : this->apply(arrived.sent);
            if (!arrived.result_lost)
                results.emplace_back(arrived, result);
        }
        return results;
    }

    std::map<endpoint_id, order> applied;

private:
    order_result apply(order const& sent)
    {
        auto const [position, added] = this->applied.try_emplace(sent.target.endpoint, sent);
        if (added)
            return order_result::done;
        bool const is_older = sent.token < position->second.token;
        if (is_older && sent.target.checks_fencing)
            return order_result::stale_token;
        RC_ASSERT(!is_older);
        position->second = sent;
        return order_result::done;
    }

    random_source& random;
    std::multimap<duration, call> calls;
};

struct leader_process
{
    double clock_rate = 1;
    duration offset{};
    order_book book;

    time_point local_time(duration now) const
    {
        return time_point(this->offset + duration(static_cast<duration::rep>(
                                             static_cast<double>(now.count()) * this->clock_rate)));
    }
};

} // namespace

TEST_CASE("an isolated leader never undoes the orders of its successor")
{
    // Guards against late orders of the old leader, and against orders of one leader that
    // overtake each other, for endpoints that check fencing tokens and for those that do not.
    rc::prop(
        "any isolation and any delays",
        []
        {
            seeded_random random(*rc::gen::arbitrary<std::uint64_t>());
            fake_endpoints endpoints(random);
            std::vector<leader_process> leaders(2);
            for (auto& leader : leaders)
            {
                leader.clock_rate = 0.99 + 0.02 * random.unit();
                leader.offset = seconds(random.below(1000));
            }
            leaders[0].book.start_leading(leaders[0].local_time(duration(0)), 1);
            duration const isolated_at(5'000'000 + random.below(3'000'000));
            duration const lease_end =
                isolated_at +
                duration(static_cast<duration::rep>(1'000'000 / leaders[0].clock_rate));
            duration const second_elected_at = isolated_at + duration(random.below(1'200'000));
            std::uint64_t next_sequence = 1;
            bool second_leads = false;
            std::map<endpoint_id, std::string> expected;
            for (duration now{}; now < seconds(60); now += milliseconds(10))
            {
                if (now >= second_elected_at && !std::exchange(second_leads, true))
                    leaders[1].book.start_leading(leaders[1].local_time(now), 2);
                bool const sends_orders = now < seconds(20);
                for (int leader = 0; leader <= (second_leads ? 1 : 0); ++leader)
                {
                    auto& process = leaders[leader];
                    bool const lease_valid = leader == 1 || now < lease_end;
                    bool const has_quorum = leader == 1 || now < isolated_at;
                    if ((sends_orders && random.below(20) == 0) ||
                        (now >= second_elected_at && now < second_elected_at + milliseconds(10)))
                        for (int number = 0; number < 4; ++number)
                        {
                            auto const version =
                                std::to_string(leader) + "." + std::to_string(random.below(5));
                            process.book.set_order(target(number, number % 2 == 0), load_version,
                                                   version);
                            if (leader == 1)
                                expected[target(number, true).endpoint] = version;
                        }
                    auto const actions = process.book.tick(process.local_time(now), lease_valid);
                    for (auto const& sent : actions.send)
                        endpoints.send(now, leader, process.clock_rate, sent);
                    if (actions.reserve > 0 && has_quorum)
                    {
                        process.book.add_sequences(leader + 1, next_sequence, actions.reserve);
                        next_sequence += actions.reserve;
                    }
                }
                for (auto const& [call, result] : endpoints.deliver(now))
                    leaders[call.leader].book.on_result(leaders[call.leader].local_time(now),
                                                        call.sent.target.endpoint, call.sent.token,
                                                        result);
            }
            RC_ASSERT(leaders[1].book.open_orders() == 0U);
            for (auto const& [endpoint, version] : expected)
                RC_ASSERT(endpoints.applied.at(endpoint).argument == version);
        });
}

TEST_CASE("a new leader waits only for endpoints that ignore tokens")
{
    // Guards against an order that is overwritten by a late order of an earlier leader, and against
    // needless waiting.
    order_book book;
    book.start_leading(start, 3);
    book.set_order(target(1, true), load_version, "v2");
    book.set_order(target(2, false), load_version, "v2");
    CHECK(book.tick(start, true).reserve == 64);
    CHECK(book.tick(start, true).reserve == 0);
    book.add_sequences(2, 900, 64);
    CHECK(book.tick(start, true).send.empty());
    book.add_sequences(3, 10, 64);
    auto const first = book.tick(start, true).send;
    REQUIRE(first.size() == 1);
    CHECK(first[0].target.endpoint == endpoint_id("e1"));
    CHECK(first[0].token == fencing_token{3, 10});
    // The lease of 1 s and the call timeout of 2 s, extended for clocks that drift by 1%.
    CHECK(book.tick(start + milliseconds(3060), true).send.empty());
    auto const later = start + milliseconds(3061);
    // Guards against an order from a leader that may have been replaced.
    CHECK(book.tick(later, false).send.empty());
    CHECK(book.tick(later, true).send.size() == 1);
}

TEST_CASE("a stale token stops a leader, and a restarted endpoint gets its order again")
{
    // Guards against a replaced leader that goes on sending, and against a restarted endpoint that
    // keeps an old version.
    order_book book;
    book.start_leading(start, 3);
    book.set_order(target(1, true), load_version, "v2");
    book.add_sequences(3, 10, 2);
    REQUIRE(book.tick(start, true).send.size() == 1);
    book.on_result(start, endpoint_id("e1"), {3, 10}, order_result::done);
    CHECK(book.open_orders() == 0);
    auto restarted = target(1, true);
    restarted.incarnation = incarnation(2);
    book.set_order(restarted, load_version, "v2");
    REQUIRE(book.tick(start, true).send.size() == 1);
    book.on_result(start, endpoint_id("e1"), {3, 11}, order_result::stale_token);
    CHECK(book.superseded());
    CHECK(book.tick(start + seconds(60), true).send.empty());
    book.start_leading(start + seconds(60), 5);
    book.add_sequences(5, 20, 2);
    CHECK(book.tick(start + seconds(60), true).send.size() == 1);
}
