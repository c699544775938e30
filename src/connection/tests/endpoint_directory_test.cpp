#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "test_records.hpp"

using namespace lagoonladder;
using namespace lagoonladder::connection;

namespace
{

using result = endpoint_result;

nlohmann::json live_as_json(endpoint_directory const& directory, time_point now)
{
    return directory.live(now);
}

rc::Gen<endpoint_record> any_endpoint()
{
    return rc::gen::map(
        rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(1, 4), rc::gen::inRange(0, 5),
                       rc::gen::weightedElement<bool>({{4, false}, {1, true}})),
        [](auto const& drawn)
        {
            auto const [id, incarnation_number, sequence, leaving] = drawn;
            auto endpoint = make_endpoint(
                "e" + std::to_string(id), static_cast<std::uint64_t>(incarnation_number),
                static_cast<std::uint64_t>(sequence),
                leaving ? endpoint_state::leaving : endpoint_state::serving);
            endpoint.load.running = static_cast<std::uint32_t>(sequence);
            return endpoint;
        });
}

} // namespace

TEST_CASE("merging is independent of order and repetition")
{
    // Guards against directories that diverge permanently after lost, reordered or repeated
    // digests.
    rc::prop("any order gives the same rows",
             []
             {
                 auto const endpoints =
                     *rc::gen::container<std::vector<endpoint_record>>(any_endpoint());
                 auto shuffled = endpoints;
                 seeded_random random(*rc::gen::arbitrary<std::uint64_t>());
                 for (std::size_t i = shuffled.size(); i > 1; --i)
                     std::swap(shuffled[i - 1], shuffled[random.below(i)]);
                 auto const repeats = random.below(4);
                 for (std::size_t i = 0; i < repeats && !endpoints.empty(); ++i)
                     shuffled.push_back(endpoints[random.below(endpoints.size())]);
                 endpoint_directory left;
                 endpoint_directory right;
                 left.merge(at({}), endpoints);
                 right.merge(at({}), shuffled);
                 RC_ASSERT(live_as_json(left, at({})) == live_as_json(right, at({})));
             });
}

TEST_CASE("leaving lasts for the incarnation")
{
    // Guards against a renewal that crosses a leaving mark and returns the endpoint to serving.
    endpoint_directory directory;
    CHECK(directory.announce(at({}), make_endpoint("e1", 1, 1)) == result::added);
    CHECK(directory.leave(at({}), endpoint_id("e1")) == result::marked_leaving);
    CHECK(directory.announce(at({}), make_endpoint("e1", 1, 2)) == result::renewed);
    CHECK(directory.find(at({}), endpoint_id("e1"))->state == endpoint_state::leaving);
    CHECK(directory.announce(at({}), make_endpoint("e1", 2, 0)) == result::added);
    CHECK(directory.find(at({}), endpoint_id("e1"))->state == endpoint_state::serving);
    CHECK(directory.merge(at({}), make_endpoint("e1", 1, 9, endpoint_state::leaving)) ==
          result::stale);
    CHECK(directory.find(at({}), endpoint_id("e1"))->state == endpoint_state::serving);
}

TEST_CASE("a late digest does not restore an expired row")
{
    // Guards against a paused entry that resumes and gossips endpoints that have expired.
    endpoint_directory directory;
    auto const endpoint = make_endpoint("e1", 1, 5);
    directory.announce(at({}), endpoint);
    CHECK(directory.live(at(milliseconds(4999))).size() == 1);
    CHECK(directory.live(at(seconds(5))).empty());
    CHECK(directory.expire(at(seconds(5))) == std::vector{endpoint_id("e1")});
    CHECK(directory.expire(at(seconds(6))).empty());
    CHECK(directory.merge(at(seconds(6)), endpoint) == result::tombstoned);
    CHECK(directory.live(at(seconds(6))).empty());
    CHECK(directory.changed_since(at(seconds(6)), 0).empty());
    CHECK(directory.merge(at(seconds(7)), make_endpoint("e1", 1, 6)) == result::renewed);
    CHECK(directory.live(at(seconds(7))).size() == 1);
}

TEST_CASE("a repeated row does not extend the lease")
{
    // Guards against a dead endpoint whose lease entries renew by exchanging its old row.
    endpoint_directory directory;
    for (int second = 0; second < 8; ++second)
        directory.merge(at(seconds(second)), make_endpoint("e1", 1, 5));
    CHECK(directory.live(at(seconds(7))).empty());
}

TEST_CASE("a removed endpoint is not listed and spreads as leaving")
{
    // Guards against peers that continue to send work to an endpoint that requested its removal.
    endpoint_directory directory;
    endpoint_directory peer;
    directory.announce(at({}), make_endpoint("e1", 1, 1));
    peer.merge(at({}), directory.changed_since(at({}), 0));
    auto const version_before = directory.version();
    CHECK(directory.remove(at({}), endpoint_id("e1")) == result::marked_leaving);
    CHECK(directory.live(at({})).empty());
    CHECK(directory.announce(at({}), make_endpoint("e1", 1, 2)) == result::tombstoned);
    auto const summary = peer.merge(at({}), directory.changed_since(at({}), version_before));
    CHECK(summary.became_leaving.size() == 1);
    CHECK(peer.find(at({}), endpoint_id("e1"))->state == endpoint_state::leaving);
    CHECK(directory.remove(at({}), endpoint_id("e2")) == result::not_found);
}

TEST_CASE("a reclaim notice applies to endpoints that are announced after it")
{
    // Guards against an endpoint that restarts or becomes known between notice and reclaim and is
    // listed as serving.
    endpoint_directory directory;
    directory.announce(at({}), make_endpoint("e1", 1, 1));
    reclaim_notice const notice{vm_id("vm-e1"), zone_id(), at(seconds(30)), false};
    CHECK(directory.apply(at({}), notice) == std::vector{endpoint_id("e1")});
    CHECK(directory.apply(at({}), notice).empty());
    CHECK(directory.reclaim_deadline(endpoint_id("e1")) == at(seconds(30)));
    directory.announce(at(seconds(1)), make_endpoint("e1", 2, 1));
    CHECK(directory.find(at(seconds(1)), endpoint_id("e1"))->state == endpoint_state::leaving);
    directory.expire(at(seconds(60)));
    directory.announce(at(seconds(60)), make_endpoint("e1", 3, 1));
    CHECK(directory.find(at(seconds(60)), endpoint_id("e1"))->state == endpoint_state::serving);
}

TEST_CASE("a zone notice can exempt on-demand endpoints")
{
    // Guards against on-demand endpoints taken out of use while the reclaimable ones are lost.
    endpoint_directory directory;
    auto reclaimable = make_endpoint("e1", 1, 1);
    reclaimable.reclaimable = true;
    directory.announce(at({}), reclaimable);
    directory.announce(at({}), make_endpoint("e2", 1, 1));
    auto marked_ids = directory.apply(at({}), {vm_id(), zone_id("z1"), at(seconds(30)), true});
    CHECK(marked_ids == std::vector{endpoint_id("e1")});
    marked_ids = directory.apply(at({}), {vm_id(), zone_id("z1"), at(seconds(30)), false});
    CHECK(marked_ids == std::vector{endpoint_id("e2")});
}

TEST_CASE("a full directory refuses new rows and keeps known ones")
{
    // Guards against unbounded memory use, and against live rows evicted without an error.
    endpoint_directory_options options;
    options.max_rows = 2;
    endpoint_directory directory(options);
    directory.announce(at({}), make_endpoint("e1", 1, 1));
    directory.announce(at({}), make_endpoint("e2", 1, 1));
    CHECK(directory.announce(at({}), make_endpoint("e3", 1, 1)) == result::full);
    CHECK(directory.announce(at(seconds(1)), make_endpoint("e1", 1, 2)) == result::renewed);
    CHECK(directory.announce(at(seconds(5)), make_endpoint("e3", 1, 1)) == result::added);
    CHECK(directory.find(at(seconds(5)), endpoint_id("e1")));
    CHECK(directory.size() == 2);
}

TEST_CASE("a renewal needs the announced incarnation")
{
    // Guards against a restarted endpoint that is listed with the row of its earlier incarnation.
    endpoint_directory directory;
    auto const id = endpoint_id("e1");
    CHECK(directory.renew(at({}), id, incarnation(1), 2, {}) == result::not_found);
    directory.announce(at({}), make_endpoint("e1", 2, 1));
    CHECK(directory.renew(at({}), id, incarnation(3), 2, {}) == result::not_found);
    CHECK(directory.renew(at({}), id, incarnation(1), 2, {}) == result::stale);
    CHECK(directory.renew(at({}), id, incarnation(2), 1, {}) == result::unchanged);
    CHECK(directory.renew(at(seconds(4)), id, incarnation(2), 2, {5, 0, 8, 0}) == result::renewed);
    CHECK(directory.find(at(seconds(8)), id)->load.running == 5);
}

TEST_CASE("a merge reports each row that became leaving once")
{
    // Guards against a mark that waits for the regular gossip interval at each entry, and against
    // one that is forwarded again with each renewal.
    endpoint_directory directory;
    directory.announce(at({}), make_endpoint("e1", 1, 1));
    auto const merge = [&](std::string const& id, std::uint64_t sequence)
    {
        return directory
            .merge(at(milliseconds(5)),
                   std::vector{make_endpoint(id, 1, sequence, endpoint_state::leaving)})
            .became_leaving;
    };
    REQUIRE(merge("e1", 1).size() == 1);
    CHECK(merge("e1", 1).empty());
    CHECK(merge("e1", 2).empty());
    REQUIRE(merge("e2", 2).size() == 1);
    CHECK(merge("e2", 2).empty());
}

TEST_CASE("a notice beyond the maximum replaces the one with the earliest deadline")
{
    // Guards against dropping the latest notice when the maximum number of notices is reached.
    endpoint_directory_options options;
    options.max_rows = 2;
    endpoint_directory directory(options);
    for (int i = 1; i <= 3; ++i)
        directory.apply(at({}),
                        {vm_id("vm-e" + std::to_string(i)), zone_id(), at(seconds(20 + i)), false});
    directory.announce(at({}), make_endpoint("e1", 1, 1));
    directory.announce(at({}), make_endpoint("e3", 1, 1));
    CHECK(directory.find(at({}), endpoint_id("e1"))->state == endpoint_state::serving);
    CHECK(directory.find(at({}), endpoint_id("e3"))->state == endpoint_state::leaving);
}

TEST_CASE("an entry that starts late gives an endpoint only the rest of its lease")
{
    // Guards against an endpoint that is gone and gets a whole lease at each entry that hears of
    // it.
    endpoint_directory first;
    first.announce(at({}), make_endpoint("e1", 1, 1));
    endpoint_directory second;
    second.merge(at(seconds(4)), first.changed_since(at(seconds(4)), 0));
    CHECK(second.live(at(milliseconds(6900))).size() == 1);
    CHECK(second.live(at(seconds(7))).empty());
    endpoint_directory third;
    third.merge(at(milliseconds(6900)), second.changed_since(at(milliseconds(6900)), 0));
    CHECK(third.live(at(milliseconds(6900))).size() == 1);
    CHECK(third.live(at(seconds(7))).empty());
}

TEST_CASE("the age of an endpoint's row counts only beyond the allowance when it is renewed")
{
    // Guards against endpoints that expire in large systems, where renewals are passed on several
    // times, and against old renewals that give a whole lease.
    endpoint_directory directory;
    directory.merge(at({}), make_endpoint("e1", 1, 1));
    auto renewed = make_endpoint("e1", 1, 2);
    renewed.renewal_age = seconds(2);
    directory.merge(at(seconds(3)), renewed);
    CHECK(directory.live(at(milliseconds(9900))).size() == 1);
    CHECK(directory.live(at(seconds(10))).empty());
    renewed.sequence = 3;
    renewed.renewal_age = seconds(6);
    directory.merge(at(seconds(8)), renewed);
    CHECK(directory.live(at(milliseconds(10'900))).size() == 1);
    CHECK(directory.live(at(seconds(11))).empty());
    // The endpoint itself renews with the whole lease.
    renewed.sequence = 4;
    directory.announce(at(seconds(10)), renewed);
    CHECK(directory.live(at(milliseconds(14'900))).size() == 1);
}

TEST_CASE("the cold time of an endpoint passes while its row is kept and sent")
{
    // Guards against an endpoint that counts as cold anew at each entry that its row reaches.
    endpoint_directory first;
    auto row = make_endpoint("e1", 1, 1);
    row.cold_remaining = seconds(3);
    first.announce(at({}), row);
    CHECK(first.find(at(seconds(1)), row.id)->cold_remaining == seconds(2));
    endpoint_directory second;
    nlohmann::json const sent = first.changed_since(at(seconds(1)), 0);
    second.merge(at(seconds(2)), sent.get<std::vector<endpoint_record>>());
    CHECK(second.live(at(seconds(2)))[0].cold_remaining == seconds(2));
    CHECK(second.live(at(seconds(5)))[0].cold_remaining == seconds(0));
    // A renewal without the field states nothing.
    first.renew(at(seconds(2)), row.id, incarnation(1), 2, {});
    CHECK_FALSE(first.find(at(seconds(2)), row.id)->cold_remaining);
}
