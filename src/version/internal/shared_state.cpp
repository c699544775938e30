#include <lagoonladder/version/shared_state.hpp>

#include <algorithm>

#include "binary_json.hpp"
#include "envelope.hpp"
#include "shared_state_json.hpp"

namespace lagoonladder::version
{

version_name traffic_split::choose(request_id const& id) const
{
    if (this->candidate.value().empty() || this->candidate_share <= 0)
        return this->stable;
    // The hash is seeded by the candidate, so that two moves do not select the same requests
    // first.
    auto const hash = stable_hash(id.value(), stable_hash(this->candidate.value()));
    auto const position = static_cast<double>(hash >> 11U) * 0x1.0p-53;
    return position < this->candidate_share ? this->candidate : this->stable;
}

std::uint64_t latest_order(std::vector<move_record> const& moves, service_name const& service)
{
    std::uint64_t latest = 0;
    for (auto const& move : moves)
    {
        if (move.service == service)
            latest = std::max(latest, move.number);
    }
    return latest;
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
           {"generation", in.generation},
           {"number", in.number},
           {"ordered", in.ordered},
           {"is_shown_worse", in.is_shown_worse}};
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
    // Records of earlier releases have no number and time of an order.
    out.number = in.value("number", out.generation.value());
    out.ordered = in.value("ordered", out.started);
    // Earlier releases did not tell why a move was reversed.
    out.is_shown_worse = in.value("is_shown_worse", out.state == move_state::reversed);
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

void to_json(nlohmann::json& out, packed_content const& in)
{
    out = {{"digest", in.digest},
           {"bytes", in.has_bytes() ? binary_json(*in.bytes) : nlohmann::json()}};
}

void from_json(nlohmann::json const& in, packed_content& out)
{
    out = {in.at("digest").get<content_digest>(), nullptr};
    auto const& bytes = in.at("bytes");
    if (!bytes.is_null())
        out = make_packed(out.digest, binary_from(bytes));
}

packed_content pack_configuration(std::string const& file, std::string const& text)
{
    return pack(make_envelope(envelope_kind::configuration, {{"file", file}, {"text", text}}));
}

namespace
{

nlohmann::json splits_json(std::map<service_name, traffic_split> const& splits)
{
    auto out = nlohmann::json::array();
    for (auto const& [service, split] : splits)
        out.push_back({{"service", service}, {"split", split}});
    return out;
}

std::map<service_name, traffic_split> splits_from(nlohmann::json const& in)
{
    std::map<service_name, traffic_split> splits;
    for (auto const& item : in)
        splits.emplace(item.at("service").get<service_name>(),
                       item.at("split").get<traffic_split>());
    return splits;
}

configuration parse_stored_configuration(std::string const& file, std::string const& text)
{
    try
    {
        return parse_configuration(file, text);
    }
    catch (configuration_error const& failure)
    {
        throw parse_error(std::string("the stored configuration cannot be read: ") +
                          failure.what());
    }
}

void set_configuration(packed_content const& content, shared_state& out)
{
    auto const in = open_envelope(envelope_kind::configuration, unpack(content));
    convert_json_errors("a configuration",
                        [&]
                        {
                            in.at("file").get_to(out.file);
                            in.at("text").get_to(out.text);
                        });
    out.configuration = parse_stored_configuration(out.file, out.text);
    out.configuration_content = content;
}

void set_services(packed_content const& content, shared_state& out)
{
    auto decoded = decode_service_configuration(unpack(content));
    out.services = std::make_shared<service_index const>(std::move(decoded.map));
    out.service_content = content;
}

packed_content const& find_content(content_digest const& digest,
                                   std::vector<packed_content> const& contents)
{
    auto const found = std::find_if(contents.begin(), contents.end(),
                                    [&](auto const& content) { return content.digest == digest; });
    if (found == contents.end())
        throw parse_error("the content " + digest.value() + " is missing");
    return *found;
}

} // namespace

void to_json(nlohmann::json& out, shared_state const& in)
{
    out = {{"applied_index", in.applied_index},
           {"changed_index", in.changed_index},
           {"generation", in.generation},
           {"file", in.file},
           {"text", in.text},
           {"moves", in.moves},
           {"splits", splits_json(in.splits)},
           {"evacuations", evacuations_json(in.evacuations)},
           {"service_content", in.service_content}};
}

void from_json(nlohmann::json const& in, shared_state& out)
{
    out = {};
    in.at("applied_index").get_to(out.applied_index);
    in.at("changed_index").get_to(out.changed_index);
    in.at("generation").get_to(out.generation);
    in.at("file").get_to(out.file);
    in.at("text").get_to(out.text);
    in.at("moves").get_to(out.moves);
    out.splits = splits_from(in.at("splits"));
    out.evacuations = evacuations_from(in);
    out.configuration = parse_stored_configuration(out.file, out.text);
    if (out.generation.value() > 0)
        out.configuration_content = pack_configuration(out.file, out.text);
    packed_content content;
    if (in.contains("service_content"))
        in.at("service_content").get_to(content);
    // Snapshots of earlier releases contain the pass-through configuration itself, or none.
    else if (in.contains("services") && !in.at("services").is_null())
        content = pack(encode(service_configuration{in.at("services").get<service_map>(),
                                                    in.at("service_document")}));
    if (content.has_bytes())
        set_services(content, out);
}

shared_status status_of(shared_state const& state)
{
    return {state.applied_index,
            state.changed_index,
            state.generation,
            state.moves,
            state.splits,
            state.evacuations,
            state.configuration_content.digest,
            state.service_content.digest};
}

std::vector<content_digest> missing_contents(shared_status const& status,
                                             shared_state const& local_state)
{
    std::vector<content_digest> missing;
    auto const add_if_missing =
        [&](content_digest const& digest, packed_content const& local_content)
    {
        if (!digest.value().empty() && digest != local_content.digest)
            missing.push_back(digest);
    };
    add_if_missing(status.configuration_content, local_state.configuration_content);
    add_if_missing(status.service_content, local_state.service_content);
    return missing;
}

shared_state make_shared_state(shared_status const& status, shared_state const& local_state,
                               std::vector<packed_content> const& fetched)
{
    auto state = local_state;
    if (status.configuration_content != local_state.configuration_content.digest)
        set_configuration(find_content(status.configuration_content, fetched), state);
    if (status.service_content != local_state.service_content.digest)
        set_services(find_content(status.service_content, fetched), state);
    state.applied_index = status.applied_index;
    state.changed_index = status.changed_index;
    state.generation = status.generation;
    state.moves = status.moves;
    state.splits = status.splits;
    state.evacuations = status.evacuations;
    return state;
}

std::string encode(shared_status const& value)
{
    return make_envelope(envelope_kind::shared_status,
                         {{"applied_index", value.applied_index},
                          {"changed_index", value.changed_index},
                          {"generation", value.generation},
                          {"moves", value.moves},
                          {"splits", splits_json(value.splits)},
                          {"evacuations", evacuations_json(value.evacuations)},
                          {"configuration", value.configuration_content},
                          {"services", value.service_content}});
}

shared_status decode_shared_status(std::string const& bytes)
{
    auto const in = open_envelope(envelope_kind::shared_status, bytes);
    return convert_json_errors("the shared status",
                               [&]
                               {
                                   shared_status out;
                                   in.at("applied_index").get_to(out.applied_index);
                                   in.at("changed_index").get_to(out.changed_index);
                                   in.at("generation").get_to(out.generation);
                                   in.at("moves").get_to(out.moves);
                                   out.splits = splits_from(in.at("splits"));
                                   out.evacuations = evacuations_from(in);
                                   in.at("configuration").get_to(out.configuration_content);
                                   in.at("services").get_to(out.service_content);
                                   return out;
                               });
}

} // namespace lagoonladder::version
