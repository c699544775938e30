#include <catch2/catch.hpp>

#include "hand_fed_node.hpp"

using namespace lagoonladder;
using namespace lagoonladder::consensus;

TEST_CASE("a silent follower gets a bounded number of bytes while the others commit")
{
    // Guards against entries that pile up on the link to a follower with each new commit.
    hand_fed_node leader;
    leader.lead();
    auto const first = leader.subject->last_index().value();
    std::uint64_t round = 0;
    std::uint64_t sent_to_c = 0;
    auto const take = [&](std::vector<message> const& messages)
    {
        for (auto const& sent : messages)
        {
            round = std::max(round, sent.round);
            if (sent.to != voter_id("c"))
                continue;
            for (auto const& entry : sent.entries)
                sent_to_c += entry.data.size();
        }
    };
    take(leader.acknowledge("b", first, 1));
    take(leader.acknowledge("c", first, 1));
    sent_to_c = 0;
    for (std::uint64_t i = 1; i <= 40; ++i)
    {
        REQUIRE(leader.subject->propose(leader.now, std::string(32 * 1024, 'x')));
        take(leader.subject->take_ready().messages);
        take(leader.acknowledge("b", first + i, round));
    }
    CHECK(leader.subject->commit_index().value() == first + 40);
    node_options const options;
    CHECK(sent_to_c <= options.max_unanswered_bytes + options.max_bytes_per_append);
}
