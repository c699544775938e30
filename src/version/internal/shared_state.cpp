#include <lagoonladder/version/control_state.hpp>

#include "envelope.hpp"
#include "shared_state_json.hpp"

namespace lagoonladder::version
{

version_name traffic_split::choose(request_id const& id) const
{
    if (this->candidate.value().empty() || this->candidate_share <= 0)
        return this->stable;
    // Seeded by the candidate, so that two moves do not pick the same requests first.
    auto const hash = stable_hash(id.value(), stable_hash(this->candidate.value()));
    auto const position = static_cast<double>(hash >> 11U) * 0x1.0p-53;
    return position < this->candidate_share ? this->candidate : this->stable;
}

void to_json(nlohmann::json& out, move_record const& in)
{
    out = {{"service", in.service},
           {"from", in.from},
           {"to", in.to},
           {"started", in.started},
           {"finish_by", in.finish_by},
           {"share", in.share},
           {"state", static_cast<int>(in.state)},
           {"full_since", optional_json(in.full_since)},
           {"ended", optional_json(in.ended)},
           {"reason", in.reason},
           {"figures", in.figures},
           {"generation", in.generation}};
}

void from_json(nlohmann::json const& in, move_record& out)
{
    in.at("service").get_to(out.service);
    in.at("from").get_to(out.from);
    in.at("to").get_to(out.to);
    in.at("started").get_to(out.started);
    in.at("finish_by").get_to(out.finish_by);
    in.at("share").get_to(out.share);
    out.state = enum_from(in.at("state"), move_state::reversed);
    out.full_since = optional_from<wall_time>(in.at("full_since"));
    out.ended = optional_from<wall_time>(in.at("ended"));
    in.at("reason").get_to(out.reason);
    in.at("figures").get_to(out.figures);
    in.at("generation").get_to(out.generation);
}

void to_json(nlohmann::json& out, traffic_split const& in)
{
    out = {{"stable", in.stable}, {"candidate", in.candidate}, {"share", in.candidate_share}};
}

void from_json(nlohmann::json const& in, traffic_split& out)
{
    in.at("stable").get_to(out.stable);
    in.at("candidate").get_to(out.candidate);
    in.at("share").get_to(out.candidate_share);
}

void to_json(nlohmann::json& out, shared_state const& in)
{
    auto splits = nlohmann::json::array();
    for (auto const& [service, split] : in.splits)
        splits.push_back({{"service", service}, {"split", split}});
    out = {{"applied_index", in.applied_index},
           {"changed_index", in.changed_index},
           {"generation", in.generation},
           {"file", in.file},
           {"text", in.text},
           {"moves", in.moves},
           {"splits", std::move(splits)},
           {"services", in.services ? nlohmann::json(in.services->map()) : nlohmann::json()},
           {"service_document", in.service_document}};
}

void from_json(nlohmann::json const& in, shared_state& out)
{
    in.at("applied_index").get_to(out.applied_index);
    in.at("changed_index").get_to(out.changed_index);
    in.at("generation").get_to(out.generation);
    in.at("file").get_to(out.file);
    in.at("text").get_to(out.text);
    in.at("moves").get_to(out.moves);
    out.splits.clear();
    for (auto const& item : in.at("splits"))
        out.splits.emplace(item.at("service").get<service_name>(),
                           item.at("split").get<traffic_split>());
    out.services.reset();
    // States of earlier releases hold no pass-through configuration.
    if (in.contains("services"))
    {
        if (!in.at("services").is_null())
            out.services =
                std::make_shared<service_index const>(in.at("services").get<service_map>());
        in.at("service_document").get_to(out.service_document);
    }
    try
    {
        out.configuration = parse_configuration(out.file, out.text);
    }
    catch (configuration_error const& failure)
    {
        throw parse_error(std::string("the stored configuration cannot be read: ") +
                          failure.what());
    }
}

std::string encode(shared_state const& value)
{
    return seal(envelope_kind::of_shared_state, value);
}

shared_state decode_shared_state(std::string const& bytes)
{
    auto const in = open_envelope(envelope_kind::of_shared_state, bytes);
    return read_fields("the shared state", [&] { return in.get<shared_state>(); });
}

} // namespace lagoonladder::version
