#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

#include <lagoonladder/connection.hpp>

#include "test_records.hpp"

using namespace lagoonladder;
using namespace lagoonladder::connection;

namespace
{

/// Simulation of entries that send each other marks over a network that loses exchanges.
class dissemination_model
{
public:
    dissemination_model(std::size_t count, double loss_ratio, std::uint64_t seed)
        : members(count)
        , random(seed)
        , loss_probability(loss_ratio)
    {
    }

    struct statistics
    {
        std::size_t messages = 0;
        std::size_t max_marks_per_message = 0;
        /// Longest time from setting a mark until an entry received it.
        duration max_delay{};
        bool reached_all = true;
    };

    /// Sets `mark_count` marks at random entries within `window` and runs for 2 s more.
    statistics run(std::size_t mark_count, duration window)
    {
        auto const last_step = window + seconds(2);
        for (duration step{}; step < last_step; step += milliseconds(1))
        {
            this->now = at(step);
            while (this->set_time_by_mark.size() < mark_count &&
                   step >= window * static_cast<std::int64_t>(this->set_time_by_mark.size()) /
                               static_cast<std::int64_t>(mark_count))
            {
                auto const id = "e" + std::to_string(this->set_time_by_mark.size());
                this->set_time_by_mark[id] = this->now;
                this->receive_mark(this->random.below(this->members.size()), id, {});
            }
            this->deliver();
            for (std::size_t i = 0; i < this->members.size(); ++i)
                this->send_round(i);
        }
        for (auto const& member_state : this->members)
            this->result.reached_all =
                this->result.reached_all && member_state.received_marks.size() == mark_count;
        return this->result;
    }

private:
    struct member
    {
        leaving_mark_disseminator disseminator;
        std::map<std::string, time_point> received_marks;
    };

    struct in_flight_message
    {
        std::size_t from = 0;
        mark_message message;
        bool is_lost = false;
        bool is_reply = false;
    };

    static std::size_t index_of(vm_id const& vm) { return std::stoul(vm.value()); }
    static vm_id vm_of(std::size_t index) { return vm_id(std::to_string(index)); }

    void receive_mark(std::size_t index, std::string const& id, vm_id const& source)
    {
        auto& member_state = this->members[index];
        if (!member_state.received_marks.emplace(id, this->now).second)
            return member_state.disseminator.record_known(source, mark_kind::endpoint, id);
        this->result.max_delay =
            std::max(this->result.max_delay, this->now - this->set_time_by_mark[id]);
        member_state.disseminator.add(this->now, {mark_kind::endpoint, id, id}, source);
    }

    void send_round(std::size_t index)
    {
        auto& member_state = this->members[index];
        auto const due = member_state.disseminator.next_round();
        if (!due || *due > this->now)
            return;
        std::vector<vm_id> peers;
        for (std::size_t i = 0; i < this->members.size(); ++i)
        {
            if (i != index)
                peers.push_back(vm_of(i));
        }
        for (auto& message :
             member_state.disseminator.round(this->now, std::move(peers), this->random))
        {
            ++this->result.messages;
            this->result.max_marks_per_message =
                std::max(this->result.max_marks_per_message, message.marks.size());
            bool const is_lost = this->random.unit() < this->loss_probability;
            // The sender notices a lost exchange by its timeout.
            auto const delay = is_lost ? milliseconds(800)
                                       : milliseconds(5 + static_cast<int>(this->random.below(60)));
            this->in_flight.emplace(this->now + delay,
                                    in_flight_message{index, std::move(message), is_lost, false});
        }
    }

    void deliver()
    {
        while (!this->in_flight.empty() && this->in_flight.begin()->first <= this->now)
        {
            auto const arrived = this->in_flight.extract(this->in_flight.begin()).mapped();
            if (arrived.is_lost)
            {
                this->members[arrived.from].disseminator.record_failure(arrived.message);
                continue;
            }
            auto const to = index_of(arrived.message.to);
            for (auto const& mark : arrived.message.marks)
                this->receive_mark(to, mark->id, vm_of(arrived.from));
            if (arrived.is_reply)
                continue;
            auto reply = this->members[to].disseminator.reply_for(this->now, vm_of(arrived.from));
            this->in_flight.emplace(this->now + milliseconds(1),
                                    in_flight_message{to, std::move(reply), false, true});
        }
    }

    std::vector<member> members;
    seeded_random random;
    double loss_probability;
    time_point now{};
    std::map<std::string, time_point> set_time_by_mark;
    std::multimap<time_point, in_flight_message> in_flight;
    statistics result;
};

} // namespace

TEST_CASE("many marks reach all entries within a second by few messages")
{
    // Guards against one message for each mark, entry and peer, which took the processor time of
    // the consensus, and against entries that receive a mark only after a drain has ended.
    auto const count = GENERATE(std::size_t(86), std::size_t(350));
    dissemination_model model(count, 0.02, 20261204);
    auto const result = model.run(60, seconds(1));
    auto const messages = static_cast<double>(result.messages) / static_cast<double>(count);
    INFO("entries " << count << ", messages of an entry " << messages
                    << ", most marks in a message " << result.max_marks_per_message
                    << ", slowest ms "
                    << std::chrono::duration_cast<milliseconds>(result.max_delay).count());
    CHECK(result.reached_all);
    CHECK(result.max_delay < seconds(1));
    CHECK(messages < 75);
}

TEST_CASE("a single mark reaches all entries within a second")
{
    // Guards against a mark that reaches some entries late, and against many more than 12 messages
    // (sends_per_mark) from each entry, in systems of 3 to 350 entries.
    auto const count = GENERATE(std::size_t(3), std::size_t(10), std::size_t(86), std::size_t(350));
    std::size_t incomplete_runs = 0;
    duration max_delay{};
    std::size_t messages = 0;
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        dissemination_model model(count, 0.02, seed);
        auto const result = model.run(1, milliseconds(1));
        incomplete_runs += result.reached_all ? 0 : 1;
        max_delay = std::max(max_delay, result.max_delay);
        messages = std::max(messages, result.messages);
    }
    INFO("entries " << count << ", runs with an entry that missed the mark " << incomplete_runs
                    << " of 50, most messages of a run " << messages << ", slowest ms "
                    << std::chrono::duration_cast<milliseconds>(max_delay).count());
    // Entries that missed the mark receive it with the next full exchange.
    CHECK(incomplete_runs <= 2);
    CHECK(max_delay < seconds(1));
    CHECK(messages <= 13 * count);
}

TEST_CASE("a mark is not sent to an entry that has it")
{
    // Guards against two daemons that send the same mark to each other in turn.
    seeded_random random(1);
    leaving_mark_disseminator disseminator;
    disseminator.add(at({}), {mark_kind::endpoint, "e1", "row"}, vm_id("a"));
    disseminator.record_known(vm_id("b"), mark_kind::endpoint, "e1");
    auto const messages = disseminator.round(at({}), {vm_id("a"), vm_id("b"), vm_id("c")}, random);
    REQUIRE(messages.size() == 1);
    CHECK(messages[0].to == vm_id("c"));
    CHECK(disseminator.reply_for(at({}), vm_id("c")).marks.empty());
    CHECK(disseminator.reply_for(at({}), vm_id("d")).marks.size() == 1);
}

TEST_CASE("a mark whose message failed is sent again until its retention ends")
{
    // Guards against a mark that is lost together with the entries of a failed zone.
    seeded_random random(1);
    leaving_mark_disseminator disseminator;
    disseminator.add(at({}), {mark_kind::entry, "vm", "row"});
    REQUIRE(disseminator.next_round() == at(milliseconds(10)));
    auto const first = disseminator.round(at(milliseconds(10)), {vm_id("a")}, random);
    REQUIRE(first.size() == 1);
    disseminator.record_failure(first[0]);
    REQUIRE(disseminator.next_round() == at(milliseconds(110)));
    CHECK(disseminator.round(at(milliseconds(110)), {vm_id("a")}, random).size() == 1);
    CHECK(disseminator.round(at(milliseconds(210)), {vm_id("a")}, random).empty());
    CHECK(disseminator.round(at(seconds(2)), {vm_id("b")}, random).empty());
    CHECK_FALSE(disseminator.next_round());
}
