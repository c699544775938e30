#ifndef LAGOONLADDER_CONSENSUS_SIMULATED_NETWORK_HPP
#define LAGOONLADDER_CONSENSUS_SIMULATED_NETWORK_HPP

#include <map>
#include <set>

#include <lagoonladder/consensus.hpp>

/// Loses, delays, reorders and duplicates messages and cuts directed links.
class simulated_network
{
public:
    explicit simulated_network(lagoonladder::random_source& source)
        : random(source)
    {
    }

    void send(lagoonladder::time_point now, lagoonladder::consensus::message const& sent)
    {
        if (this->random.unit() < this->loss)
            return;
        int const copies = this->random.unit() < this->duplication ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy)
        {
            bool const late = this->random.unit() < this->lateness;
            auto const delay = 500 + this->random.below(late ? 800'000 : 8'000);
            this->in_flight.emplace(now + lagoonladder::duration(delay),
                                    lagoonladder::consensus::encode_message(sent));
        }
    }

    /// Messages that arrive by `now`; those on a cut link are lost.
    std::vector<lagoonladder::consensus::message> take_due(lagoonladder::time_point now)
    {
        std::vector<lagoonladder::consensus::message> due;
        while (!this->in_flight.empty() && this->in_flight.begin()->first <= now)
        {
            auto received =
                lagoonladder::consensus::decode_message(this->in_flight.begin()->second);
            this->in_flight.erase(this->in_flight.begin());
            if (!this->cut.contains({vm_of(received.from), vm_of(received.to)}))
                due.push_back(std::move(received));
        }
        return due;
    }

    double loss = 0;
    double duplication = 0;
    double lateness = 0;
    std::set<std::pair<lagoonladder::vm_id, lagoonladder::vm_id>> cut;

private:
    lagoonladder::random_source& random;
    std::multimap<lagoonladder::time_point, std::string> in_flight;
};

#endif
