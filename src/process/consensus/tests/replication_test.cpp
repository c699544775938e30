#include <catch2/catch.hpp>

#include "scripted_node.hpp"

using namespace lagoonladder;
using namespace lagoonladder::consensus;

TEST_CASE("a silent follower gets a bounded number of bytes while the others commit")
{
    // Guards against entries that accumulate on the link to an unresponsive follower with each new
    // commit.
    scripted_node leader;
    leader.win_election();
    auto const first_index = leader.tested_node->last_index().value();
    std::uint64_t round = 0;
    std::uint64_t sent_to_c = 0;
    auto const count_sent = [&](std::vector<message> const& messages)
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
    count_sent(leader.acknowledge("b", first_index, 1));
    count_sent(leader.acknowledge("c", first_index, 1));
    sent_to_c = 0;
    for (std::uint64_t i = 1; i <= 40; ++i)
    {
        REQUIRE(leader.tested_node->propose(leader.now, std::string(32 * 1024, 'x')));
        count_sent(leader.tested_node->take_ready().messages);
        count_sent(leader.acknowledge("b", first_index + i, round));
    }
    CHECK(leader.tested_node->commit_index().value() == first_index + 40);
    node_options const options;
    CHECK(sent_to_c <= options.max_in_flight_bytes + options.max_bytes_per_append);
}
