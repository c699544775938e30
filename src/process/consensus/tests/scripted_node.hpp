#ifndef LAGOONLADDER_CONSENSUS_SCRIPTED_NODE_HPP
#define LAGOONLADDER_CONSENSUS_SCRIPTED_NODE_HPP

#include "simulated_cluster.hpp"

namespace lagoonladder::consensus
{

inline time_point const start_time(seconds(100));

/// A single node, a, whose received messages the test constructs. The other members, b and c, exist
/// only as senders of these messages.
struct scripted_node
{
    explicit scripted_node(std::vector<log_entry> entries = {}, std::uint64_t term = 1,
                           membership const& members = three_voters())
        : random(7)
        , initial_state(founding_state(members))
    {
        set_invariant_handler([](std::string const& message)
                              { throw simulation_failure(message); });
        this->initial_state.hard_state.term = term_number(term);
        this->initial_state.entries = std::move(entries);
        node_options options;
        options.self = voter_id("a");
        this->tested_node =
            std::make_unique<node>(options, this->initial_state, this->random, start_time);
    }

    static membership three_voters()
    {
        membership members;
        for (auto const* id : {"a", "b", "c"})
            members.voters[voter_id(id)] = network_address("10.0.0.1:1");
        return members;
    }

    /// Delivers a message while the last write of the node is in flight.
    void step(message received)
    {
        received.to = voter_id("a");
        this->tested_node->step(this->now, received);
    }

    std::vector<message> receive(message received)
    {
        this->step(std::move(received));
        return this->tested_node->take_ready().messages;
    }

    /// Delivers a message of a leader that has received all replies of the node.
    std::vector<message> receive_with_echo(message received)
    {
        received.reply_number = this->last_reply_number;
        auto replies = this->receive(std::move(received));
        for (auto const& reply : replies)
            this->last_reply_number = reply.reply_number;
        return replies;
    }

    message message_from(char const* sender, message_type type, std::uint64_t term) const
    {
        message result;
        result.type = type;
        result.from = voter_id(sender);
        result.term = term_number(term);
        return result;
    }

    std::vector<message> tick_after(duration elapsed)
    {
        this->now += elapsed;
        this->tested_node->tick(this->now);
        return this->tested_node->take_ready().messages;
    }

    /// Makes the node win the election of the next term with the vote of b.
    std::vector<message> win_election()
    {
        this->tick_after(seconds(3));
        auto const next_term = this->tested_node->term().value() + 1;
        this->receive(this->message_from("b", message_type::prevote_reply, next_term));
        return this->receive(this->message_from("b", message_type::vote_reply, next_term));
    }

    std::vector<message> acknowledge(char const* sender, std::uint64_t index, std::uint64_t round)
    {
        auto reply = this->message_from(sender, message_type::append_reply,
                                        this->tested_node->term().value());
        reply.index = log_index(index);
        reply.round = round;
        return this->receive(reply);
    }

    seeded_random random;
    persistent_state initial_state;
    time_point now = start_time;
    std::unique_ptr<node> tested_node;
    /// Number of the node's last reply to a leader.
    std::uint64_t last_reply_number = 0;
};

} // namespace lagoonladder::consensus

#endif
