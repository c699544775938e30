#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <memory>

#include "test_records.hpp"

using namespace lagoonladder;
using namespace lagoonladder::connection;

namespace
{

constexpr int step_ms = 50;
constexpr int data_centres = 4;

struct member
{
    entry_directory entries;
    endpoint_directory endpoints;
    int paused_until_ms = 0;
    /// Offset of the gossip interval within a second.
    int phase_ms = 0;
    /// Leaving marks that are sent between the gossip intervals.
    leaving_mark_disseminator disseminator;
};

struct gossip_message
{
    std::size_t to = 0;
    std::size_t from = 0;
    int arrival_ms = 0;
    /// Replies and leaving marks are not answered.
    bool is_one_way = false;
    std::vector<entry_record> entries;
    std::vector<endpoint_record> endpoints;
};

/// Simulation of entries that exchange digests and leaving marks over a network that loses, repeats
/// and reorders them.
class gossip_model
{
public:
    gossip_model(int count, double loss_ratio, std::uint64_t seed)
        : random(seed)
        , loss_probability(loss_ratio)
    {
        for (int i = 0; i < count; ++i)
        {
            this->members.push_back({entry_directory(entry_of(i, 1)), endpoint_directory(), 0, 0,
                                     leaving_mark_disseminator()});
            this->members.back().phase_ms = static_cast<int>(this->random.below(20)) * step_ms;
        }
        for (auto& member_state : this->members)
        {
            for (int i = 0; i < count; ++i)
                member_state.entries.merge(at({}), entry_of(i, 1));
        }
    }

    static entry_record entry_of(int index, std::uint64_t incarnation_number)
    {
        return make_entry("vm-" + std::to_string(index), "d" + std::to_string(index % data_centres),
                          incarnation_number);
    }

    static vm_id to_vm(std::size_t index) { return vm_id("vm-" + std::to_string(index)); }

    static leaving_mark mark_of(endpoint_record endpoint)
    {
        endpoint.state = endpoint_state::leaving;
        return {mark_kind::endpoint, endpoint.id.value(), nlohmann::json(endpoint).dump()};
    }

    time_point now() const { return at(milliseconds(this->time_ms)); }

    void run(int run_ms)
    {
        for (auto const end = this->time_ms + run_ms; this->time_ms < end;)
        {
            this->time_ms += step_ms;
            this->deliver();
            for (std::size_t i = 0; i < this->members.size(); ++i)
                this->run_member(i);
        }
    }

    void pause(std::size_t index, int pause_ms)
    {
        this->members[index].paused_until_ms = this->time_ms + pause_ms;
    }

    void restart(std::size_t index)
    {
        auto const incarnation_number = this->members[index].entries.own().incarnation.value() + 1;
        auto& member_state = this->members[index];
        member_state = {entry_directory(entry_of(static_cast<int>(index), incarnation_number)),
                        endpoint_directory(), 0, member_state.phase_ms,
                        leaving_mark_disseminator()};
        for (std::size_t i = 0; i < this->members.size(); ++i)
            member_state.entries.merge(this->now(), entry_of(static_cast<int>(i), 1));
    }

    /// Starts one more entry, which knows only the entry `seed`, and returns its index.
    std::size_t start_late(std::size_t seed)
    {
        auto const index = this->members.size();
        this->members.push_back({entry_directory(entry_of(static_cast<int>(index), 1)),
                                 endpoint_directory(), 0, this->time_ms / step_ms % 20 * step_ms,
                                 leaving_mark_disseminator()});
        this->members.back().entries.merge(this->now(), entry_of(static_cast<int>(seed), 1));
        return index;
    }

    /// Number of entries that run and count the entry `index` as alive or suspect.
    std::size_t believers_in(std::size_t index) const
    {
        return static_cast<std::size_t>(
            std::count_if(this->members.begin(), this->members.end(),
                          [&](member const& observer)
                          {
                              if (observer.paused_until_ms > this->time_ms)
                                  return false;
                              auto const status = observer.entries.find(this->now(), to_vm(index));
                              return status && status->health != entry_health::dead;
                          }));
    }

    std::vector<member> members;
    seeded_random random;
    double loss_probability;
    int time_ms = 0;
    /// Index of the entry at which the endpoint renews every second.
    std::size_t announcing_member = 0;
    bool is_renewing = true;

private:
    bool is_paused(std::size_t index) const
    {
        return this->time_ms < this->members[index].paused_until_ms;
    }

    void run_member(std::size_t index)
    {
        auto& member_state = this->members[index];
        if (this->is_paused(index))
            return;
        auto const is_interval_start = this->time_ms % 1000 == member_state.phase_ms;
        if (index == this->announcing_member && this->is_renewing && is_interval_start)
            member_state.endpoints.announce(
                this->now(), make_endpoint("e1", 1, static_cast<std::uint64_t>(this->time_ms)));
        this->send_marks(index);
        if (!is_interval_start)
            return;
        member_state.entries.advance_heartbeat(generation(1), 0);
        member_state.entries.expire(this->now());
        member_state.endpoints.expire(this->now());
        for (auto const& peer : member_state.entries.gossip_peers(this->now(), this->random))
            this->send(index, std::stoul(peer.vm.value().substr(3)), false);
    }

    void send(std::size_t from, std::size_t to, bool is_one_way)
    {
        auto const& member_state = this->members[from];
        this->send({to, from, 0, is_one_way, member_state.entries.digest(this->now()),
                    member_state.endpoints.changed_since(this->now(), 0)});
    }

    /// Sends the marks that are due. Unlike the daemon, the model does not repeat lost messages.
    void send_marks(std::size_t index)
    {
        auto& member_state = this->members[index];
        auto const due = member_state.disseminator.next_round();
        if (!due || *due > this->now())
            return;
        auto const messages = member_state.disseminator.round(
            this->now(), member_state.entries.live_peers(this->now()), this->random);
        for (auto const& message : messages)
        {
            std::vector<endpoint_record> endpoints;
            for (auto const& mark : message.marks)
                endpoints.push_back(nlohmann::json::parse(mark->row).get<endpoint_record>());
            this->send({std::stoul(message.to.value().substr(3)), index, 0, true, {}, endpoints});
        }
    }

    void send(gossip_message const& message)
    {
        auto const copies = this->random.below(10) == 0 ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy)
        {
            if (this->random.unit() < this->loss_probability)
                continue;
            this->in_flight.push_back(message);
            auto const delay = 1 + static_cast<int>(this->random.below(4));
            this->in_flight.back().arrival_ms = this->time_ms + delay * step_ms;
        }
    }

    void deliver()
    {
        std::vector<gossip_message> due;
        std::erase_if(this->in_flight,
                      [&](auto const& message)
                      {
                          auto const has_arrived = message.arrival_ms <= this->time_ms;
                          if (has_arrived)
                              due.push_back(message);
                          return has_arrived;
                      });
        for (auto const& message : due)
        {
            if (this->is_paused(message.to))
                continue;
            auto& to = this->members[message.to];
            to.entries.merge(this->now(), message.entries);
            auto const summary = to.endpoints.merge(this->now(), message.endpoints);
            for (auto const& endpoint : summary.became_leaving)
                to.disseminator.add(this->now(), mark_of(endpoint), to_vm(message.from));
            if (!message.is_one_way)
                this->send(message.to, message.from, true);
        }
    }

    std::vector<gossip_message> in_flight;
};

} // namespace

TEST_CASE("all entries list a leaving endpoint as leaving within 3 s")
{
    // Guards against an entry that still lists a leaving endpoint as serving 3 s after the mark
    // was set, when every fifth digest is lost.
    rc::prop(
        "all entries list the endpoint as leaving within 3 s",
        []
        {
            gossip_model model(11, 0.2, *rc::gen::arbitrary<std::uint64_t>());
            model.run(6000);
            auto const marking_index = model.random.below(11);
            auto& marking_member = model.members[marking_index];
            auto const marked_ids = marking_member.endpoints.apply(
                model.now(), {vm_id("vm-e1"), zone_id(), model.now() + seconds(30), false});
            RC_ASSERT(marked_ids.size() == 1U);
            auto const leaving_endpoint =
                marking_member.endpoints.find(model.now(), endpoint_id("e1"));
            marking_member.disseminator.add(model.now(), gossip_model::mark_of(*leaving_endpoint));
            model.run(3000);
            for (auto const& member_state : model.members)
            {
                auto const endpoint = member_state.endpoints.find(model.now(), endpoint_id("e1"));
                RC_ASSERT(!endpoint || endpoint->state == endpoint_state::leaving);
            }
            // Renewals that cross the mark do not return the endpoint to serving.
            model.run(4000);
            for (auto const& member_state : model.members)
            {
                auto const endpoint = member_state.endpoints.find(model.now(), endpoint_id("e1"));
                RC_ASSERT(!endpoint || endpoint->state == endpoint_state::leaving);
            }
        });
}

TEST_CASE("membership converges after pauses and restarts")
{
    // Guards against entries that stay dead, suspect or unknown after they resumed or restarted,
    // and against expired endpoints that a resumed entry adds again.
    rc::prop("all members are alive again",
             []
             {
                 gossip_model model(8, 0.1, *rc::gen::arbitrary<std::uint64_t>());
                 model.run(5000);
                 auto const paused_index = 1 + model.random.below(7);
                 model.pause(paused_index, 20000);
                 model.restart((paused_index + 1 + model.random.below(7)) % 8);
                 // An entry is dead at most 9 s after its last heartbeat, apart from the time in
                 // messages.
                 model.run(13000);
                 RC_ASSERT(
                     model.members[paused_index == 1 ? 2 : 1]
                         .entries.find(model.now(), vm_id("vm-" + std::to_string(paused_index)))
                         ->health == entry_health::dead);
                 model.is_renewing = false;
                 model.run(22000);
                 for (auto const& member_state : model.members)
                 {
                     RC_ASSERT(member_state.entries.live(model.now()).size() == 8U);
                     RC_ASSERT(member_state.endpoints.live(model.now()).empty());
                 }
             });
}

TEST_CASE("an entry that is gone is not kept alive by entries that start late")
{
    // Guards against callers that are directed to a VM that is gone, because each entry that starts
    // counts the silence of the others anew and passes this on to the next one.
    rc::prop("no entry believes in it after dead_after and the time that gossip takes",
             []
             {
                 gossip_model model(8, 0.2, *rc::gen::arbitrary<std::uint64_t>());
                 model.run(5000);
                 auto const gone = model.random.below(8);
                 model.pause(gone, 120'000);
                 auto seed = (gone + 1) % 8;
                 for (int elapsed_ms = 0; elapsed_ms < 25'000; elapsed_ms += 500)
                 {
                     model.run(500);
                     // Each entry starts with what the one that started before it believes.
                     if (elapsed_ms % 2000 == 0)
                         seed = model.start_late(seed);
                     // The model delays each message by up to 200 ms, and a row passes several.
                     if (elapsed_ms >= 10'000)
                         RC_ASSERT(model.believers_in(gone) == 0U);
                 }
             });
}

TEST_CASE("an endpoint that is gone is not kept alive by entries that start late")
{
    // Guards against requests that are sent to an endpoint that is gone, because each entry that
    // starts gives it a new lease and passes the row on to the next one.
    rc::prop("no entry lists it after its lease and the time that gossip takes",
             []
             {
                 gossip_model model(8, 0.2, *rc::gen::arbitrary<std::uint64_t>());
                 model.run(5000);
                 model.is_renewing = false;
                 std::size_t seed = 1;
                 for (int elapsed_ms = 0; elapsed_ms < 25'000; elapsed_ms += 500)
                 {
                     model.run(500);
                     // Each entry starts with the rows of the one that started before it.
                     if (elapsed_ms % 2000 == 0)
                         seed = model.start_late(seed);
                     if (elapsed_ms < 10'000)
                         continue;
                     for (auto const& observer : model.members)
                         RC_ASSERT(observer.endpoints.live(model.now()).empty());
                 }
             });
}

TEST_CASE("an entry that was paused does not revive one that is gone")
{
    // Guards against an entry that was paused, does not count the pause as silence of the others
    // and makes entries that start late believe in one that has gone meanwhile.
    entry_directory paused(make_entry("vm-0", "d0"));
    paused.merge(at({}), make_entry("vm-1", "d0"));
    paused.expire(at(seconds(1)));
    paused.expire(at(seconds(60)));
    CHECK(paused.find(at(seconds(60)), vm_id("vm-1"))->health == entry_health::alive);
    entry_directory started_late(make_entry("vm-2", "d0"));
    started_late.merge(at(seconds(60)), paused.digest(at(seconds(60))));
    CHECK(started_late.find(at(seconds(60)), vm_id("vm-0"))->health == entry_health::alive);
    CHECK(started_late.find(at(seconds(60)), vm_id("vm-1"))->health == entry_health::dead);
}

TEST_CASE("live entries are rarely suspected")
{
    // Guards against timeouts that are too short for the gossip interval: callers would be
    // directed away from healthy entries.
    gossip_model model(11, 0.05, 20261204);
    model.run(5000);
    int suspected = 0;
    int samples = 0;
    for (int second = 0; second < 120; ++second)
    {
        model.run(1000);
        for (auto const& member_state : model.members)
        {
            for (auto const& status : member_state.entries.all(model.now()))
            {
                ++samples;
                suspected += status.health != entry_health::alive ? 1 : 0;
                CHECK(status.health != entry_health::dead);
            }
        }
    }
    INFO("suspected " << suspected << " of " << samples);
    CHECK(suspected * 500 < samples);
}
