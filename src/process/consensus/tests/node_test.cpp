#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <deque>

#include "scripted_node.hpp"

using namespace lagoonladder;
using namespace lagoonladder::consensus;
using operation = membership_change::operation;

namespace
{

log_entry entry(std::uint64_t index, std::uint64_t term)
{
    return {log_index(index), term_number(term), entry_kind::command, "x"};
}

std::uint64_t wait_for_leader(simulated_cluster& cluster)
{
    cluster.run(seconds(3));
    REQUIRE(cluster.leader() != nullptr);
    return cluster.leader()->node->term().value();
}

simulated_vm& follower_of(simulated_cluster& cluster)
{
    auto const* leader = cluster.leader();
    return *(cluster.vms[0].get() == leader ? cluster.vms[1] : cluster.vms[0]);
}

change_status propose_change(simulated_cluster& cluster, operation action, voter_id const& id)
{
    auto& leader = *cluster.leader();
    return leader.node
        ->propose_membership(cluster.local_time(leader),
                             {action, id, network_address("10.0.0.1:1")})
        .status;
}

} // namespace

TEST_CASE("an entry of an earlier term is not committed by counting replicas")
{
    // Guards against a commit that a later leader with a newer entry at that index could undo.
    scripted_node node({entry(2, 2)}, 3);
    node.win_election();
    REQUIRE(node.tested_node->role() == role::leader);
    node.acknowledge("b", 2, 1);
    CHECK(node.tested_node->commit_index() == log_index(1));
    node.acknowledge("b", 3, 1);
    CHECK(node.tested_node->commit_index() == log_index(3));
}

TEST_CASE("a follower applies committed entries while its last write is in flight")
{
    // Guards against a write that waits for a slow disk of one voter although a quorum has it.
    scripted_node node;
    auto append = node.message_from("b", message_type::append_request, 2);
    append.index = append.commit = log_index(1);
    append.log_term = term_number(1);
    append.entries = {entry(2, 2)};
    node.receive(append);
    append.index = append.commit = log_index(2);
    append.log_term = term_number(2);
    append.entries = {entry(3, 2)};
    node.step(append);
    CHECK(node.tested_node->take_committed() == std::vector{entry(2, 2)});
    append.commit = log_index(3);
    node.step(append);
    CHECK(node.tested_node->take_committed() == std::vector{entry(3, 2)});
    CHECK(node.tested_node->take_committed().empty());
    auto const work = node.tested_node->take_ready();
    CHECK(work.entries == std::vector{entry(3, 2)});
    CHECK(work.committed.empty());
}

TEST_CASE("a snapshot of entries that were applied before they were stored replaces them")
{
    // Guards against a node that stores a snapshot and then entries that the snapshot covers, which
    // its store refuses.
    scripted_node node;
    storage::memory_log_store store;
    store.save_snapshot(*node.initial_state.snapshot);
    store.save(node.tested_node->take_ready());
    auto append = node.message_from("b", message_type::append_request, 2);
    append.index = log_index(1);
    append.log_term = term_number(1);
    append.entries = {entry(2, 2), entry(3, 2), entry(4, 2)};
    append.commit = log_index(3);
    node.step(append);
    REQUIRE(node.tested_node->take_committed().size() == 2);
    node.tested_node->compact(log_index(3), "state");
    store.save(node.tested_node->take_ready());
    auto const stored = store.load();
    CHECK(stored.snapshot->index == log_index(3));
    CHECK(stored.entries == std::vector{entry(4, 2)});
}

TEST_CASE("a leader that becomes the only voter commits no entry that it is still storing")
{
    // Guards against an acknowledged write that only the leader has, and has not stored: the voter
    // that was to acknowledge it is removed while the leader's write is in flight.
    membership members;
    members.voters[voter_id("a")] = members.voters[voter_id("b")] =
        members.learners[voter_id("c")] = network_address("10.0.0.1:1");
    scripted_node leader({}, 1, members);
    leader.win_election();
    leader.acknowledge("b", 2, 1);
    leader.acknowledge("c", 2, 1);
    REQUIRE(leader.tested_node->commit_index() == log_index(2));
    REQUIRE(leader.tested_node->propose(leader.now, "x"));
    leader.tested_node->take_ready();
    REQUIRE(
        leader.tested_node->propose_membership(leader.now, {operation::remove, voter_id("b"), {}})
            .status == change_status::accepted);
    auto reply = leader.message_from("c", message_type::append_reply, 2);
    reply.index = log_index(2);
    reply.round = 1;
    leader.step(reply);
    CHECK(leader.tested_node->commit_index() == log_index(2));
    CHECK(leader.tested_node->take_committed().empty());
    CHECK(leader.tested_node->take_ready().committed.size() == 2);
}

TEST_CASE(
    "a leader that removes itself commits its removal with the acknowledgement of the last voter")
{
    // Guards against a removal that waits for the leader's next heartbeat.
    membership members;
    members.voters[voter_id("a")] = members.voters[voter_id("b")] = network_address("10.0.0.1:1");
    scripted_node leader({}, 1, members);
    leader.win_election();
    leader.acknowledge("b", 2, 1);
    REQUIRE(
        leader.tested_node->propose_membership(leader.now, {operation::remove, voter_id("a"), {}})
            .status == change_status::accepted);
    leader.tested_node->take_ready();
    auto reply = leader.message_from("b", message_type::append_reply, 2);
    reply.index = log_index(3);
    leader.step(reply);
    CHECK(leader.tested_node->commit_index() == log_index(3));
}

TEST_CASE("the only voter becomes leader once its vote is stored")
{
    // Guards against two leaders in one term: a voter that is the only one in its log leads while
    // its vote is being stored, crashes and then votes for another candidate in the same term.
    membership members;
    members.voters[voter_id("a")] = network_address("10.0.0.1:1");
    scripted_node node({}, 1, members);
    node.now += seconds(3);
    node.tested_node->tick(node.now);
    CHECK(node.tested_node->role() != role::leader);
    auto const work = node.tested_node->take_ready();
    REQUIRE(work.hard_state);
    CHECK(work.hard_state->vote == voter_id("a"));
    CHECK(work.must_sync);
    CHECK(node.tested_node->role() != role::leader);
    REQUIRE(node.tested_node->has_ready());
    CHECK(node.tested_node->take_ready().entries.size() == 1);
    CHECK(node.tested_node->role() == role::leader);
}

TEST_CASE("a node grants no vote right after its start")
{
    // Guards against a restarted voter that votes while a leader's lease relies on it not to.
    scripted_node node;
    auto request = node.message_from("b", message_type::vote_request, 2);
    request.index = log_index(1);
    request.log_term = term_number(1);
    CHECK(node.receive(request).empty());
    CHECK(node.tested_node->term() == term_number(1));
    node.now += milliseconds(1001);
    auto const replies = node.receive(request);
    REQUIRE(replies.size() == 1);
    CHECK_FALSE(replies[0].rejected);
    auto competing_request = request;
    competing_request.from = voter_id("c");
    // Guards against two votes in one term.
    CHECK(node.receive(competing_request).at(0).rejected);
}

TEST_CASE("a candidate with a shorter log gets no vote")
{
    // Guards against a leader that lacks committed entries.
    scripted_node node({entry(2, 1)});
    node.now += milliseconds(1001);
    auto request = node.message_from("b", message_type::vote_request, 2);
    request.index = log_index(1);
    request.log_term = term_number(1);
    CHECK(node.receive(request).at(0).rejected);
}

TEST_CASE("a read needs a reply to a broadcast that is sent after it")
{
    // Guards against a read served by a leader that has been replaced without noticing it.
    scripted_node node;
    node.win_election();
    node.acknowledge("b", 2, 1);
    REQUIRE(node.tested_node->commit_index() == log_index(2));
    REQUIRE(node.tested_node->request_read(node.now, 5));
    auto const round = node.tested_node->take_ready().messages.at(0).round;
    REQUIRE(round > 1);
    auto reply = node.message_from("b", message_type::append_reply, 2);
    reply.to = voter_id("a");
    reply.index = log_index(2);
    reply.round = round - 1;
    node.tested_node->step(node.now, reply);
    CHECK(node.tested_node->take_ready().reads.empty());
    reply.round = round;
    node.tested_node->step(node.now, reply);
    CHECK(node.tested_node->take_ready().reads.size() == 1);
}

TEST_CASE("a lease ends before the voters grant votes, at the bounds of the clock rates")
{
    // Guards against two leases when the leader's clock is 1% slow and a voter's 1% fast.
    scripted_node node;
    node.win_election();
    node.acknowledge("b", 2, 1);
    CHECK(node.tested_node->has_valid_lease(node.now + milliseconds(970)));
    auto const voter_timeout_us = 1'000'000 / 1.01;
    auto const leader_elapsed_us = static_cast<duration::rep>(voter_timeout_us * 0.99);
    CHECK_FALSE(node.tested_node->has_valid_lease(node.now + duration(leader_elapsed_us)));
}

TEST_CASE("a voter campaigns until its removal is committed")
{
    // Guards against a group that cannot elect a leader because the only voter with the newest log
    // does not campaign.
    membership remaining_members;
    remaining_members.voters[voter_id("b")] = remaining_members.voters[voter_id("c")] =
        network_address("10.0.0.1:1");
    std::string removal;
    nlohmann::json::to_msgpack(remaining_members, removal);
    scripted_node node({{log_index(2), term_number(1), entry_kind::membership, removal}});
    CHECK(node.tick_after(seconds(3)).size() == 2);
    auto append = node.message_from("b", message_type::append_request, 2);
    append.index = append.commit = log_index(2);
    append.log_term = term_number(1);
    node.receive(append);
    CHECK(node.tested_node->commit_index() == log_index(2));
    CHECK(node.tick_after(seconds(3)).empty());
}

TEST_CASE("a duplicated snapshot reply starts no second series of chunks")
{
    // Guards against snapshot traffic that doubles with every duplicated reply.
    scripted_node node;
    node.win_election();
    node.acknowledge("b", 2, 1);
    node.tested_node->compact(log_index(2), std::string(1'000'000, 'x'));
    auto rejection = node.message_from("c", message_type::append_reply, 2);
    rejection.rejected = true;
    rejection.index = log_index(1);
    auto const first = node.receive(rejection);
    REQUIRE(first.size() == 1);
    REQUIRE(first[0].type == message_type::snapshot_chunk);
    auto reply = node.message_from("c", message_type::snapshot_reply, 2);
    reply.index = log_index(2);
    reply.round = first[0].round;
    reply.received = first[0].part->data.size();
    CHECK(node.receive(reply).size() == 1);
    CHECK(node.receive(reply).empty());
}

TEST_CASE("log matching backs off by terms, not by entries")
{
    // Guards against one round trip per entry for a follower that was unreachable for a long time.
    std::vector<log_entry> leader_log;
    for (std::uint64_t index = 2; index <= 1000; ++index)
        leader_log.push_back(entry(index, 2));
    scripted_node node(leader_log, 2);
    auto messages = node.win_election();
    auto const request = std::find_if(messages.begin(), messages.end(),
                                      [](message const& sent) { return sent.to == voter_id("c"); });
    REQUIRE(request != messages.end());
    auto rejection = node.message_from("c", message_type::append_reply, 3);
    rejection.rejected = true;
    rejection.index = request->index;
    rejection.hint_index = log_index(900);
    rejection.hint_term = term_number(1);
    messages = node.receive(rejection);
    REQUIRE(messages.size() >= 1);
    CHECK(messages[0].index == log_index(1));
    CHECK(messages[0].entries.size() == 256);
}

TEST_CASE("a voter that was isolated for long does not disrupt the leader")
{
    // Guards against an election whenever an isolated voter reconnects (prevote).
    simulated_cluster cluster(11, 3);
    auto const term = wait_for_leader(cluster);
    auto const& isolated_vm = follower_of(cluster).name;
    auto const outbound = GENERATE(true, false);
    cluster.isolate(isolated_vm, true, outbound);
    cluster.run(seconds(30));
    CHECK(cluster.leader()->node->term().value() == term);
    cluster.network.cut_links.clear();
    cluster.run(seconds(3));
    CHECK(cluster.leader()->node->term().value() == term);
}

TEST_CASE("a voter that only the leader cannot reach is not elected")
{
    // Guards against a third voter that receives the leader's messages and still votes for another
    // candidate, which would violate the leader's lease.
    simulated_cluster cluster(14, 3);
    auto const term = wait_for_leader(cluster);
    auto const leader = cluster.leader()->name;
    auto const isolated_vm = follower_of(cluster).name;
    cluster.network.cut_links = {{leader, isolated_vm}, {isolated_vm, leader}};
    cluster.run(seconds(10));
    CHECK(cluster.leader()->name == leader);
    CHECK(cluster.leader()->node->term().value() == term);
}

TEST_CASE("a voter that lags behind the leader's commit index does not confirm its state")
{
    // Guards against an entry that answers 404 for an added route, because a voter that hears its
    // leader but has not applied the change confirmed the older configuration.
    scripted_node node;
    auto heartbeat = node.message_from("b", message_type::append_request, 2);
    heartbeat.index = heartbeat.commit = log_index(1);
    heartbeat.log_term = term_number(1);
    heartbeat.entries = {entry(2, 2)};
    heartbeat.commit = log_index(2);
    node.receive_with_echo(heartbeat);
    REQUIRE(node.tested_node->commit_index() == log_index(2));
    node.receive_with_echo(heartbeat);
    CHECK(node.tested_node->has_recent_commit(node.now));

    // The leader sends a snapshot, and heartbeats without a preceding entry meanwhile.
    heartbeat.index = log_index(0);
    heartbeat.log_term = term_number(0);
    heartbeat.entries.clear();
    heartbeat.commit = log_index(900);
    for (int i = 0; i < 4; ++i)
    {
        node.now += milliseconds(400);
        node.receive_with_echo(heartbeat);
        REQUIRE(node.tested_node->has_recent_quorum(node.now));
    }
    CHECK_FALSE(node.tested_node->has_recent_commit(node.now));
}

TEST_CASE("a voter confirms no state before the leader has committed an entry of its term")
{
    // Guards against a confirmation by the commit index of a new leader, which may lack entries
    // that the previous leader committed and acknowledged.
    scripted_node node;
    auto heartbeat = node.message_from("b", message_type::append_request, 2);
    heartbeat.index = heartbeat.commit = log_index(1);
    heartbeat.log_term = term_number(1);
    for (int i = 0; i < 2; ++i)
        node.receive_with_echo(heartbeat);
    REQUIRE(node.tested_node->has_recent_quorum(node.now));
    CHECK_FALSE(node.tested_node->has_recent_commit(node.now));
    heartbeat.entries = {entry(2, 2)};
    heartbeat.commit = log_index(2);
    node.receive_with_echo(heartbeat);
    CHECK(node.tested_node->has_recent_commit(node.now));
}

TEST_CASE("a voter confirms no state by messages of its leader that are late")
{
    // Guards against 404 for an added route: a voter that received messages of its leader seconds
    // late confirmed what had been committed then as if it were current.
    scripted_node node;
    auto heartbeat = node.message_from("b", message_type::append_request, 2);
    heartbeat.index = heartbeat.commit = log_index(1);
    heartbeat.log_term = term_number(1);
    heartbeat.entries = {entry(2, 2)};
    heartbeat.commit = log_index(2);
    node.receive_with_echo(heartbeat);
    heartbeat.reply_number = node.last_reply_number;
    node.now += seconds(3);
    for (int i = 0; i < 4; ++i)
    {
        // Sent before the replies to the earlier ones have arrived.
        node.receive(heartbeat);
        REQUIRE(node.tested_node->has_recent_quorum(node.now));
        CHECK_FALSE(node.tested_node->has_recent_commit(node.now));
        node.now += milliseconds(100);
    }
    node.receive_with_echo(heartbeat);
    node.receive_with_echo(heartbeat);
    CHECK(node.tested_node->has_recent_commit(node.now));
}

TEST_CASE("messages of a leader that are late are no contact with it")
{
    // Guards against a voter that does not notice its removal: after a pause of its process it took
    // messages that the leader had sent before for contact.
    scripted_node node;
    auto heartbeat = node.message_from("b", message_type::append_request, 2);
    heartbeat.index = heartbeat.commit = log_index(1);
    heartbeat.log_term = term_number(1);
    node.receive_with_echo(heartbeat);
    auto const replied_at = node.now;
    heartbeat.reply_number = node.last_reply_number;
    node.now += milliseconds(200);
    node.receive(heartbeat);
    CHECK(node.tested_node->quorum_contact_confirmed_at() == replied_at);
    node.now += seconds(3);
    for (int i = 0; i < 4; ++i)
    {
        node.receive(heartbeat);
        CHECK(node.tested_node->quorum_contact_confirmed_at() == replied_at);
    }
    node.receive_with_echo(heartbeat);
    node.receive_with_echo(heartbeat);
    CHECK(node.tested_node->quorum_contact_confirmed_at() == node.now);
}

TEST_CASE("each voter confirms its state all the time while all is well")
{
    // Guards against a confirmation that is too old before the next heartbeat renews it, so that
    // entries refuse calls without a fault.
    simulated_cluster cluster(19, 3);
    wait_for_leader(cluster);
    for (auto const end = cluster.now + seconds(20); cluster.now < end;)
    {
        cluster.step();
        for (auto const& vm : cluster.vms)
            REQUIRE(vm->node->has_recent_commit(cluster.local_time(*vm)));
    }
}

TEST_CASE("a voter confirms its state after a restart under the same leader")
{
    // Guards against a leader that goes on to echo the number of a reply from before the restart,
    // so that the voter confirms nothing until the next election.
    simulated_cluster cluster(18, 3);
    wait_for_leader(cluster);
    auto& voter = follower_of(cluster);
    for (int restarts = 0; restarts < 4; ++restarts)
    {
        cluster.crash(voter);
        cluster.start(voter);
        cluster.run(seconds(2));
        CHECK(voter.node->has_recent_commit(cluster.local_time(voter)));
    }
}

TEST_CASE("a voter that catches up confirms only what the leader had committed recently")
{
    // Guards against a confirmation during a long catch-up or by messages that are late, and
    // against one that never returns.
    simulated_cluster cluster(17, 3);
    wait_for_leader(cluster);
    auto& lagging_vm = follower_of(cluster);
    std::deque<std::pair<time_point, log_index>> commits;
    bool is_behind = false;
    auto const run_with_writes = [&](duration length)
    {
        for (auto const end = cluster.now + length; cluster.now < end;)
        {
            cluster.write();
            cluster.step();
            if (auto const* leader = cluster.leader())
                commits.emplace_back(cluster.now, leader->node->commit_index());
            // The clocks differ by 2% at most, and a message takes 10 ms at most.
            auto const limit =
                cluster.now - cluster.options.election_timeout * 102 / 100 - milliseconds(20);
            while (commits.size() > 1 && commits[1].first <= limit)
                commits.pop_front();
            if (lagging_vm.paused_until > cluster.now)
                continue;
            auto const& node = *lagging_vm.node;
            auto const now = cluster.local_time(lagging_vm);
            bool const lags = node.commit_index() < commits.front().second;
            is_behind = is_behind || (lags && node.has_recent_quorum(now));
            CHECK_FALSE((lags && node.has_recent_commit(now)));
        }
    };
    auto const recover = [&]
    {
        cluster.network.cut_links.clear();
        cluster.network.late_links.clear();
        run_with_writes(seconds(5));
        CHECK(lagging_vm.node->has_recent_commit(cluster.local_time(lagging_vm)));
    };
    SECTION("cut off")
    {
        cluster.isolate(lagging_vm.name, true, true);
        run_with_writes(seconds(5));
        recover();
        CHECK(is_behind);
    }
    SECTION("messages to it are late")
    {
        for (auto const& vm : cluster.vms)
            cluster.network.late_links[{vm->name, lagging_vm.name}] = milliseconds(2'500);
        run_with_writes(seconds(8));
        CHECK(is_behind);
        recover();
    }
    SECTION("messages from it are late")
    {
        for (auto const& vm : cluster.vms)
            cluster.network.late_links[{lagging_vm.name, vm->name}] = milliseconds(2'500);
        run_with_writes(seconds(8));
        recover();
    }
    SECTION("it is paused again and again")
    {
        for (int pauses = 0; pauses < 8; ++pauses)
        {
            lagging_vm.paused_until = cluster.now + milliseconds(200 + 400 * pauses);
            run_with_writes(milliseconds(400 + 400 * pauses));
        }
        recover();
        CHECK(is_behind);
    }
    SECTION("its leader is paused again and again")
    {
        for (int pauses = 0; pauses < 8; ++pauses)
        {
            if (auto* leader = cluster.leader(); leader && leader != &lagging_vm)
                leader->paused_until = cluster.now + milliseconds(200 + 400 * pauses);
            run_with_writes(milliseconds(400 + 400 * pauses));
        }
        recover();
    }
}

TEST_CASE("an isolated leader steps down within an election timeout")
{
    // Guards against an isolated leader that continues to issue orders (check-quorum).
    simulated_cluster cluster(12, 3);
    wait_for_leader(cluster);
    auto& old_leader = *cluster.leader();
    // In one of the two cases the leader's messages still arrive, but it receives none.
    cluster.isolate(old_leader.name, true, GENERATE(true, false));
    cluster.run(milliseconds(310));
    CHECK_FALSE(old_leader.node->has_valid_lease(cluster.local_time(old_leader)));
    CHECK_FALSE(old_leader.node->has_recent_quorum(cluster.local_time(old_leader)));
    CHECK(old_leader.node->role() != role::leader);
    cluster.run(seconds(3));
    REQUIRE(cluster.leader() != nullptr);
    CHECK(cluster.leader() != &old_leader);
}

TEST_CASE("voters change one at a time, and learners are promoted only when caught up")
{
    // Guards against quorums that do not overlap, and against a voter that counts towards the
    // quorum without having the committed entries.
    simulated_cluster cluster(13, 3);
    wait_for_leader(cluster);
    auto& lost_vm = follower_of(cluster);
    auto const lost_voter_id = lost_vm.id;
    REQUIRE(cluster.lose_disk(lost_vm));
    cluster.isolate(lost_vm.name, true, true);
    CHECK(propose_change(cluster, operation::promote, lost_vm.id) == change_status::unknown_member);
    CHECK(propose_change(cluster, operation::add_learner, lost_vm.id) == change_status::accepted);
    CHECK(propose_change(cluster, operation::remove, lost_voter_id) ==
          change_status::change_in_progress);
    cluster.run(seconds(1));
    CHECK(propose_change(cluster, operation::promote, lost_vm.id) == change_status::learner_behind);
    auto const third_vm = std::find_if(
        cluster.vms.begin(), cluster.vms.end(),
        [&](auto const& vm) { return vm.get() != &lost_vm && vm.get() != cluster.leader(); });
    CHECK(propose_change(cluster, operation::remove, (*third_vm)->id) ==
          change_status::no_quorum_after_change);
    cluster.network.cut_links.clear();
    cluster.run(seconds(1));
    CHECK(propose_change(cluster, operation::promote, lost_vm.id) == change_status::accepted);
    cluster.run(seconds(1));
    CHECK(propose_change(cluster, operation::remove, lost_voter_id) == change_status::accepted);
    cluster.run(seconds(1));
    CHECK(cluster.leader()->node->membership().voters.size() == 3);

    // Guards against a group that loses its quorum when a VM fails right after the repair.
    cluster.crash(**third_vm);
    cluster.write();
    cluster.run(seconds(5));
    auto const before = cluster.acknowledged_writes;
    for (int attempt = 0; attempt < 20; ++attempt)
        cluster.write();
    cluster.run(seconds(1));
    CHECK(cluster.acknowledged_writes > before);
}

TEST_CASE("a leader changes no membership before it has committed an entry of its term")
{
    // Guards against two leaders whose uncommitted changes give disjoint quorums.
    scripted_node node;
    node.win_election();
    CHECK(node.tested_node->propose_membership(node.now, {operation::remove, voter_id("c"), {}})
              .status == change_status::term_not_committed);
}

TEST_CASE("messages are unchanged after encoding and decoding, and malformed ones are rejected")
{
    // Guards against a field that the encoding loses, and against a truncated message that is
    // accepted.
    rc::prop("round trip",
             []
             {
                 message value;
                 value.type = static_cast<message_type>(*rc::gen::inRange(0, 10));
                 value.from = voter_id("a#1");
                 value.term = term_number(*rc::gen::arbitrary<std::uint64_t>());
                 value.round = *rc::gen::arbitrary<std::uint64_t>();
                 value.reply_number = *rc::gen::arbitrary<std::uint64_t>();
                 value.rejected = *rc::gen::arbitrary<bool>();
                 auto const bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
                 value.entries = {{log_index(3), term_number(2), entry_kind::command, bytes}};
                 value.part =
                     snapshot_part{{{{voter_id("b"), network_address("h:1")}}, {}}, 3, 9, bytes};
                 auto const encoded = encode_message(value);
                 RC_ASSERT(decode_message(encoded) == value);
                 RC_ASSERT_THROWS_AS(decode_message(encoded.substr(
                                         0, *rc::gen::inRange<std::size_t>(0, encoded.size()))),
                                     consensus_error);
             });
    CHECK_THROWS_AS(decode_message("\x81\xa4type\x63"), consensus_error);
}

TEST_CASE("an inconsistent stored state or option is rejected")
{
    seeded_random random(1);
    node_options options;
    CHECK_THROWS_AS(node(options, {}, random, start_time), consensus_error);
    options.self = voter_id("a");
    persistent_state state;
    state.entries = {entry(2, 1)};
    CHECK_THROWS_AS(node(options, state, random, start_time), consensus_error);
    options.heartbeat_interval = seconds(1);
    CHECK_THROWS_AS(node(options, {}, random, start_time), consensus_error);
}
