#include <lagoonladder/consensus/types.hpp>

#include <array>
#include <cstdio>

#include "encoding.hpp"

namespace lagoonladder::consensus
{

voter_id make_voter_id(vm_id const& vm, std::uint64_t incarnation)
{
    std::array<char, 20> text{};
    std::snprintf(text.data(), text.size(), "#%016llx",
                  static_cast<unsigned long long>(incarnation));
    return voter_id(vm.value() + text.data());
}

vm_id vm_of(voter_id const& id)
{
    return vm_id(id.value().substr(0, id.value().find('#')));
}

persistent_state founding_state(membership initial)
{
    persistent_state state;
    state.snapshot = snapshot{log_index(1), term_number(1), std::move(initial), {}};
    state.hard_state.term = term_number(1);
    state.hard_state.commit = log_index(1);
    return state;
}

void to_json(nlohmann::json& out, log_entry const& entry)
{
    out = nlohmann::json::array(
        {entry.index, entry.term, static_cast<int>(entry.kind), to_binary(entry.data)});
}

void from_json(nlohmann::json const& in, log_entry& entry)
{
    in.at(0).get_to(entry.index);
    in.at(1).get_to(entry.term);
    entry.kind = to_enum(in.at(2), entry_kind::membership);
    entry.data = from_binary(in.at(3));
}

void to_json(nlohmann::json& out, membership const& members)
{
    out = {{"voters", nlohmann::json::object()}, {"learners", nlohmann::json::object()}};
    for (auto const& [id, address] : members.voters)
        out["voters"][id.value()] = address;
    for (auto const& [id, address] : members.learners)
        out["learners"][id.value()] = address;
}

void from_json(nlohmann::json const& in, membership& members)
{
    members = {};
    for (auto const& [id, address] : in.at("voters").items())
        members.voters.emplace(id, address.get<network_address>());
    for (auto const& [id, address] : in.at("learners").items())
        members.learners.emplace(id, address.get<network_address>());
}

void to_json(nlohmann::json& out, hard_state const& state)
{
    out = nlohmann::json::array({state.term, state.vote, state.commit});
}

void from_json(nlohmann::json const& in, hard_state& state)
{
    in.at(0).get_to(state.term);
    in.at(1).get_to(state.vote);
    in.at(2).get_to(state.commit);
}

void to_json(nlohmann::json& out, snapshot const& state)
{
    out = {{"index", state.index},
           {"term", state.term},
           {"membership", state.membership},
           {"data", to_binary(state.data)}};
}

void from_json(nlohmann::json const& in, snapshot& state)
{
    in.at("index").get_to(state.index);
    in.at("term").get_to(state.term);
    in.at("membership").get_to(state.membership);
    state.data = from_binary(in.at("data"));
}

} // namespace lagoonladder::consensus
