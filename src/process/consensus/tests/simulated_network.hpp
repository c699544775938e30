#ifndef LAGOONLADDER_CONSENSUS_SIMULATED_NETWORK_HPP
#define LAGOONLADDER_CONSENSUS_SIMULATED_NETWORK_HPP

#include <map>
#include <set>

#include <lagoonladder/consensus.hpp>

/// Network that loses, delays, reorders and duplicates messages. Single directions of a link can be
/// cut or late.
class simulated_network
{
public:
    explicit simulated_network(lagoonladder::random_source& source)
        : random(source)
    {
    }

    void send(lagoonladder::time_point now, lagoonladder::consensus::message const& sent)
    {
        if (this->random.unit() < this->loss_probability)
            return;
        int const copies = this->random.unit() < this->duplication_probability ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy)
        {
            bool const is_delayed = this->random.unit() < this->delay_probability;
            // In microseconds: 0.5 to 8.5 ms, or up to 800.5 ms for a delayed message.
            auto const delay = 500 + this->random.below(is_delayed ? 800'000 : 8'000);
            auto const late = this->late_links.find({vm_of(sent.from), vm_of(sent.to)});
            auto const lateness =
                late == this->late_links.end() ? lagoonladder::duration(0) : late->second;
            this->in_flight.emplace(now + lagoonladder::duration(delay) + lateness,
                                    lagoonladder::consensus::encode_message(sent));
        }
    }

    /// Returns the messages that arrive by `now`; those on a cut link are lost.
    std::vector<lagoonladder::consensus::message> take_due(lagoonladder::time_point now)
    {
        std::vector<lagoonladder::consensus::message> due;
        while (!this->in_flight.empty() && this->in_flight.begin()->first <= now)
        {
            auto received =
                lagoonladder::consensus::decode_message(this->in_flight.begin()->second);
            this->in_flight.erase(this->in_flight.begin());
            if (!this->cut_links.contains({vm_of(received.from), vm_of(received.to)}))
                due.push_back(std::move(received));
        }
        return due;
    }

    double loss_probability = 0;
    double duplication_probability = 0;
    double delay_probability = 0;
    std::set<std::pair<lagoonladder::vm_id, lagoonladder::vm_id>> cut_links;
    /// Additional delay of all messages from the first VM to the second one.
    std::map<std::pair<lagoonladder::vm_id, lagoonladder::vm_id>, lagoonladder::duration>
        late_links;

private:
    lagoonladder::random_source& random;
    std::multimap<lagoonladder::time_point, std::string> in_flight;
};

#endif
