#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <lagoonladder/version/order_scheduler.hpp>

using namespace lagoonladder;
using namespace lagoonladder::version;

namespace
{

time_point const start(seconds(100));
auto const load = order_kind::load_version;

order_target target(int number, bool checks_fencing)
{
    return {endpoint_id("e" + std::to_string(number)), network_address("10.0.0.1:1"),
            incarnation(1), checks_fencing};
}

/// Endpoints in true time; calls may be slow, lost, lose only their answer, or seem
/// to fail and still arrive.
class fake_endpoints
{
public:
    struct call
    {
        int leader;
        order sent;
        bool lost;
        bool answer_lost;
    };

    explicit fake_endpoints(random_source& source)
        : random(source)
    {
    }

    void send(duration now, int leader, double clock_rate, order const& sent)
    {
        auto const longest = static_cast<std::uint64_t>(2'000'000 / clock_rate);
        auto const delay = this->random.below(this->random.below(3) ? 50'000 : longest);
        this->calls.emplace(
            now + duration(static_cast<duration::rep>(delay)),
            call{leader, sent, this->random.below(10) == 0, this->random.below(10) == 0});
        // The connection breaks early, but the endpoint still gets the order.
        if (this->random.below(10) == 0)
            this->calls.emplace(now + milliseconds(1), call{leader, sent, true, false});
    }

    /// Delivers what has arrived and returns the answers.
    std::vector<std::pair<call, order_result>> deliver(duration now)
    {
        std::vector<std::pair<call, order_result>> answers;
        while (!this->calls.empty() && this->calls.begin()->first <= now)
        {
            auto const arrived = this->calls.begin()->second;
            this->calls.erase(this->calls.begin());
            auto const result = arrived.lost ? order_result::failed : this->take(arrived.sent);
            if (!arrived.answer_lost)
                answers.emplace_back(arrived, result);
        }
        return answers;
    }

    std::map<endpoint_id, order> applied;

private:
    order_result take(order const& sent)
    {
        auto const [known, added] = this->applied.try_emplace(sent.target.endpoint, sent);
        if (added)
            return order_result::done;
        bool const older = sent.token < known->second.token;
        if (older && sent.target.checks_fencing)
            return order_result::stale_token;
        RC_ASSERT(!older);
        known->second = sent;
        return order_result::done;
    }

    random_source& random;
    std::multimap<duration, call> calls;
};

struct leading_process
{
    double clock_rate = 1;
    duration offset{};
    order_scheduler book;

    time_point local(duration now) const
    {
        return time_point(this->offset + duration(static_cast<duration::rep>(
                                             static_cast<double>(now.count()) * this->clock_rate)));
    }
};

} // namespace

TEST_CASE("an isolated leader never undoes the orders of its successor")
{
    // Guards against a late order of the old leader, and against orders of one
    // leader that overtake each other, with and without checks of the token.
    rc::prop(
        "any isolation and any delays",
        []
        {
            seeded_random random(*rc::gen::arbitrary<std::uint64_t>());
            fake_endpoints endpoints(random);
            std::vector<leading_process> leaders(2);
            for (auto& leader : leaders)
            {
                leader.clock_rate = 0.99 + 0.02 * random.unit();
                leader.offset = seconds(random.below(1000));
            }
            leaders[0].book.start_leading(leaders[0].local(duration(0)), 1);
            duration const isolated(5'000'000 + random.below(3'000'000));
            duration const lease_end =
                isolated + duration(static_cast<duration::rep>(1'000'000 / leaders[0].clock_rate));
            duration const elected = isolated + duration(random.below(1'200'000));
            std::uint64_t next_sequence = 1;
            bool second_leads = false;
            std::map<endpoint_id, std::string> wanted;
            for (duration now{}; now < seconds(60); now += milliseconds(10))
            {
                if (now >= elected && !std::exchange(second_leads, true))
                    leaders[1].book.start_leading(leaders[1].local(now), 2);
                bool const busy = now < seconds(20);
                for (int leader = 0; leader <= (second_leads ? 1 : 0); ++leader)
                {
                    auto& process = leaders[leader];
                    bool const lease = leader == 1 || now < lease_end;
                    bool const quorum = leader == 1 || now < isolated;
                    if ((busy && random.below(20) == 0) ||
                        (now >= elected && now < elected + milliseconds(10)))
                        for (int number = 0; number < 4; ++number)
                        {
                            auto const version =
                                std::to_string(leader) + "." + std::to_string(random.below(5));
                            process.book.set_order(target(number, number % 2 == 0), load, version);
                            if (leader == 1)
                                wanted[target(number, true).endpoint] = version;
                        }
                    auto const actions = process.book.tick(process.local(now), lease);
                    for (auto const& sent : actions.send)
                        endpoints.send(now, leader, process.clock_rate, sent);
                    if (actions.reserve > 0 && quorum)
                    {
                        process.book.add_sequences(leader + 1, next_sequence, actions.reserve);
                        next_sequence += actions.reserve;
                    }
                }
                for (auto const& [call, result] : endpoints.deliver(now))
                    leaders[call.leader].book.on_result(leaders[call.leader].local(now),
                                                        call.sent.target.endpoint, call.sent.token,
                                                        result);
            }
            RC_ASSERT(leaders[1].book.open_orders() == 0U);
            for (auto const& [endpoint, version] : wanted)
                RC_ASSERT(endpoints.applied.at(endpoint).argument == version);
        });
}

TEST_CASE("a new leader waits only for endpoints that ignore tokens")
{
    order_scheduler book;
    book.start_leading(start, 3);
    book.set_order(target(1, true), load, "v2");
    book.set_order(target(2, false), load, "v2");
    CHECK(book.tick(start, true).reserve == 64);
    CHECK(book.tick(start, true).reserve == 0);
    book.add_sequences(2, 900, 64);
    CHECK(book.tick(start, true).send.empty());
    book.add_sequences(3, 10, 64);
    auto const first = book.tick(start, true).send;
    REQUIRE(first.size() == 1);
    CHECK(first[0].target.endpoint == endpoint_id("e1"));
    CHECK(first[0].token == fencing_token{3, 10});
    CHECK(book.tick(start + milliseconds(3060), true).send.empty());
    auto const later = start + milliseconds(3061);
    // Guards against an order by a leader that may have been replaced.
    CHECK(book.tick(later, false).send.empty());
    CHECK(book.tick(later, true).send.size() == 1);
}

TEST_CASE("a stale token stops a leader, and a restarted endpoint gets its order again")
{
    order_scheduler book;
    book.start_leading(start, 3);
    book.set_order(target(1, true), load, "v2");
    book.add_sequences(3, 10, 2);
    REQUIRE(book.tick(start, true).send.size() == 1);
    book.on_result(start, endpoint_id("e1"), {3, 10}, order_result::done);
    CHECK(book.open_orders() == 0);
    auto restarted = target(1, true);
    restarted.incarnation = incarnation(2);
    book.set_order(restarted, load, "v2");
    REQUIRE(book.tick(start, true).send.size() == 1);
    book.on_result(start, endpoint_id("e1"), {3, 11}, order_result::stale_token);
    CHECK(book.superseded());
    CHECK(book.tick(start + seconds(60), true).send.empty());
    book.start_leading(start + seconds(60), 5);
    book.add_sequences(5, 20, 2);
    CHECK(book.tick(start + seconds(60), true).send.size() == 1);
}
