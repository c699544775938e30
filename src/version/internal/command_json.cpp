#include <lagoonladder/version/control_state.hpp>

#include "binary_json.hpp"
#include "envelope.hpp"
#include "shared_state_json.hpp"
#include "usage_json.hpp"

namespace lagoonladder::version
{

// Not in an unnamed namespace, since the JSON library finds these functions by
// argument-dependent lookup in the namespace of the type.

static void to_json(nlohmann::json& out, apply_configuration const& in)
{
    out = {{"base", in.base}, {"file", in.file}, {"text", in.text}, {"operation", in.operation}};
}

static void from_json(nlohmann::json const& in, apply_configuration& out)
{
    in.at("base").get_to(out.base);
    in.at("file").get_to(out.file);
    in.at("text").get_to(out.text);
    in.at("operation").get_to(out.operation);
}

static void to_json(nlohmann::json& out, update_move const& in)
{
    out = {{"service", in.service},
           {"generation", in.generation},
           {"share", in.share},
           {"state", static_cast<int>(in.state)},
           {"reason", in.reason},
           {"figures", in.figures},
           {"is_shown_worse", in.is_shown_worse}};
}

static void from_json(nlohmann::json const& in, update_move& out)
{
    in.at("service").get_to(out.service);
    in.at("generation").get_to(out.generation);
    in.at("share").get_to(out.share);
    out.state = enum_from(in.at("state"), move_state::reversed);
    in.at("reason").get_to(out.reason);
    in.at("figures").get_to(out.figures);
    // Commands of earlier releases do not tell why a move is reversed.
    out.is_shown_worse = in.value("is_shown_worse", out.state == move_state::reversed);
}

static void to_json(nlohmann::json& out, reserve_orders const& in)
{
    out = {{"term", in.term}, {"count", in.count}};
}

static void from_json(nlohmann::json const& in, reserve_orders& out)
{
    in.at("term").get_to(out.term);
    in.at("count").get_to(out.count);
}

static void to_json(nlohmann::json& out, expire_records const&)
{
    out = nullptr;
}

static void from_json(nlohmann::json const&, expire_records&) {}

static void to_json(nlohmann::json& out, apply_service_map const& in)
{
    out = {{"number", in.number}, {"content", in.content}};
}

static void from_json(nlohmann::json const& in, apply_service_map& out)
{
    // Logs of earlier releases contain the configuration itself.
    if (in.contains("map"))
    {
        service_configuration const decoded{in.at("map").get<service_map>(),
                                            in.at("document").get<std::string>()};
        out = make_apply_command(decoded);
        return;
    }
    in.at("number").get_to(out.number);
    in.at("content").get_to(out.content);
}

static void to_json(nlohmann::json& out, store_content_part const& in)
{
    out = {{"digest", in.part.digest},
           {"offset", in.part.offset},
           {"total", in.part.total},
           {"bytes", binary_json(in.part.bytes)}};
}

static void from_json(nlohmann::json const& in, store_content_part& out)
{
    in.at("digest").get_to(out.part.digest);
    in.at("offset").get_to(out.part.offset);
    in.at("total").get_to(out.part.total);
    out.part.bytes = binary_from(in.at("bytes"));
}

static void to_json(nlohmann::json& out, read_pass_through_state const&)
{
    out = nullptr;
}

static void from_json(nlohmann::json const&, read_pass_through_state&) {}

static void to_json(nlohmann::json& out, start_service_move const& in)
{
    out = {{"service", in.service},
           {"to", in.to},
           {"span", in.time_limit},
           {"base", optional_json(in.base)},
           {"resend_time", optional_json(in.resend_time)},
           {"base_age", in.base_age},
           {"in_service", in.in_service}};
}

static void from_json(nlohmann::json const& in, start_service_move& out)
{
    in.at("service").get_to(out.service);
    in.at("to").get_to(out.to);
    in.at("span").get_to(out.time_limit);
    out.base = optional_from<std::uint64_t>(in.value("base", nlohmann::json()));
    out.resend_time = optional_from<duration>(in.value("resend_time", nlohmann::json()));
    out.base_age = in.value("base_age", duration(0));
    out.in_service = in.value("in_service", version_name());
}

static void to_json(nlohmann::json& out, close_usage_window const& in)
{
    out = {{"window", in.window}};
}

static void from_json(nlohmann::json const& in, close_usage_window& out)
{
    in.at("window").get_to(out.window);
}

static void to_json(nlohmann::json& out, add_usage const& in)
{
    out = {{"reports", in.reports}};
}

static void from_json(nlohmann::json const& in, add_usage& out)
{
    in.at("reports").get_to(out.reports);
}

static void to_json(nlohmann::json& out, confirm_usage_window const& in)
{
    out = {{"window", in.window}};
}

static void from_json(nlohmann::json const& in, confirm_usage_window& out)
{
    in.at("window").get_to(out.window);
}

static void to_json(nlohmann::json& out, set_evacuation const& in)
{
    out = {{"data_centre", in.data_centre},
           {"is_evacuated", in.is_evacuated},
           {"base", optional_json(in.base)}};
}

static void from_json(nlohmann::json const& in, set_evacuation& out)
{
    in.at("data_centre").get_to(out.data_centre);
    in.at("is_evacuated").get_to(out.is_evacuated);
    out.base = optional_from<std::uint64_t>(in.value("base", nlohmann::json()));
}

static void to_json(nlohmann::json& out, apply_map_result const& in)
{
    out = {{"stored", in.stored},
           {"number", in.number},
           {"lacks_content", in.lacks_content},
           {"held_parts", in.held_parts},
           {"problem", in.problem}};
}

static void from_json(nlohmann::json const& in, apply_map_result& out)
{
    in.at("stored").get_to(out.stored);
    in.at("number").get_to(out.number);
    in.at("lacks_content").get_to(out.lacks_content);
    in.at("held_parts").get_to(out.held_parts);
    in.at("problem").get_to(out.problem);
}

static void to_json(nlohmann::json& out, pass_through_state_result const& in)
{
    out = {{"number", in.number}, {"content", in.content}, {"moves", in.moves}};
}

static void from_json(nlohmann::json const& in, pass_through_state_result& out)
{
    in.at("number").get_to(out.number);
    in.at("content").get_to(out.content);
    in.at("moves").get_to(out.moves);
}

static void to_json(nlohmann::json& out, start_move_result const& in)
{
    out = {{"outcome", static_cast<int>(in.outcome)}};
}

static void from_json(nlohmann::json const& in, start_move_result& out)
{
    out.outcome = enum_from(in.at("outcome"), start_move_outcome::prolonged);
}

static void to_json(nlohmann::json& out, usage_window_result const& in)
{
    out = {{"window", in.window}};
}

static void from_json(nlohmann::json const& in, usage_window_result& out)
{
    in.at("window").get_to(out.window);
}

static void to_json(nlohmann::json& out, evacuation_result const& in)
{
    out = {{"is_changed", in.is_changed}, {"is_outdated", in.is_outdated}, {"number", in.number}};
}

static void from_json(nlohmann::json const& in, evacuation_result& out)
{
    in.at("is_changed").get_to(out.is_changed);
    out.is_outdated = in.value("is_outdated", false);
    out.number = in.value("number", std::uint64_t{0});
}

static void to_json(nlohmann::json& out, no_result const&)
{
    out = nullptr;
}

static void from_json(nlohmann::json const&, no_result&) {}

static void to_json(nlohmann::json& out, apply_result const& in)
{
    out = {{"outcome", static_cast<int>(in.outcome)},
           {"generation", in.generation},
           {"winner_operation", in.winner_operation},
           {"winner_digest", in.winner_digest},
           {"detail", in.detail}};
}

static void from_json(nlohmann::json const& in, apply_result& out)
{
    out.outcome = enum_from(in.at("outcome"), apply_outcome::invalid);
    in.at("generation").get_to(out.generation);
    in.at("winner_operation").get_to(out.winner_operation);
    in.at("winner_digest").get_to(out.winner_digest);
    in.at("detail").get_to(out.detail);
}

static void to_json(nlohmann::json& out, update_move_result const& in)
{
    out = {{"applied", in.applied}};
}

static void from_json(nlohmann::json const& in, update_move_result& out)
{
    in.at("applied").get_to(out.applied);
}

static void to_json(nlohmann::json& out, reserve_orders_result const& in)
{
    out = {{"first_sequence", in.first_sequence}};
}

static void from_json(nlohmann::json const& in, reserve_orders_result& out)
{
    in.at("first_sequence").get_to(out.first_sequence);
}

namespace
{

template <class Variant>
nlohmann::json variant_json(Variant const& value)
{
    return std::visit(
        [&](auto const& alternative) {
            return nlohmann::json{{"type", value.index()}, {"value", alternative}};
        },
        value);
}

template <class Variant, std::size_t Index = 0>
Variant variant_from(nlohmann::json const& in)
{
    if constexpr (Index == std::variant_size_v<Variant>)
        throw parse_error("unknown type " + in.at("type").dump());
    else if (in.at("type").get<std::size_t>() == Index)
        return in.at("value").get<std::variant_alternative_t<Index, Variant>>();
    else
        return variant_from<Variant, Index + 1>(in);
}

} // namespace

apply_service_map make_apply_command(service_configuration const& value)
{
    return {value.map.number, pack(encode(value))};
}

std::string encode(command const& value)
{
    return make_envelope(envelope_kind::command,
                         {{"now", value.now}, {"body", variant_json(value.body)}});
}

command decode_command(std::string const& bytes)
{
    auto const in = open_envelope(envelope_kind::command, bytes);
    return convert_json_errors("a command",
                               [&] {
                                   return command{in.at("now").get<wall_time>(),
                                                  variant_from<command_body>(in.at("body"))};
                               });
}

std::string encode(command_result const& value)
{
    return make_envelope(envelope_kind::result, variant_json(value));
}

command_result decode_command_result(std::string const& bytes)
{
    auto const in = open_envelope(envelope_kind::result, bytes);
    return convert_json_errors("a command result",
                               [&] { return variant_from<command_result>(in); });
}

} // namespace lagoonladder::version
