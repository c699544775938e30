#ifndef LAGOONLADDER_CONSENSUS_HAND_FED_NODE_HPP
#define LAGOONLADDER_CONSENSUS_HAND_FED_NODE_HPP

#include "simulated_cluster.hpp"

namespace lagoonladder::consensus
{

inline time_point const start(seconds(100));

/// One node, fed by hand; the other voters exist only in the messages.
struct hand_fed_node
{
    explicit hand_fed_node(std::vector<log_entry> entries = {}, std::uint64_t term = 1)
        : random(7)
    {
        set_invariant_handler([](std::string const& message)
                              { throw simulation_failure(message); });
        membership voters;
        for (auto const* id : {"a", "b", "c"})
            voters.voters[voter_id(id)] = network_address("10.0.0.1:1");
        auto state = founding_state(voters);
        state.hard_state.term = term_number(term);
        state.entries = std::move(entries);
        node_options options;
        options.self = voter_id("a");
        this->subject = std::make_unique<node>(options, state, this->random, start);
    }

    std::vector<message> receive(message received)
    {
        received.to = voter_id("a");
        this->subject->step(this->now, received);
        return this->subject->take_ready().messages;
    }

    message from(char const* sender, message_type type, std::uint64_t term) const
    {
        message result;
        result.type = type;
        result.from = voter_id(sender);
        result.term = term_number(term);
        return result;
    }

    std::vector<message> tick_after(duration span)
    {
        this->now += span;
        this->subject->tick(this->now);
        return this->subject->take_ready().messages;
    }

    /// Wins the election of the next term with the vote of b.
    std::vector<message> lead()
    {
        this->tick_after(seconds(3));
        auto const next = this->subject->term().value() + 1;
        this->receive(this->from("b", message_type::prevote_reply, next));
        return this->receive(this->from("b", message_type::vote_reply, next));
    }

    std::vector<message> acknowledge(char const* sender, std::uint64_t index, std::uint64_t round)
    {
        auto reply = this->from(sender, message_type::append_reply, this->subject->term().value());
        reply.index = log_index(index);
        reply.round = round;
        return this->receive(reply);
    }

    seeded_random random;
    time_point now = start;
    std::unique_ptr<node> subject;
};

} // namespace lagoonladder::consensus

#endif
