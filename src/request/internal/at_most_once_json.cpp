#include <lagoonladder/request/at_most_once_record.hpp>

namespace lagoonladder::request
{

namespace
{

template <class Enum>
Enum enum_from(nlohmann::json const& in, Enum last)
{
    auto const value = in.get<int>();
    if (value < 0 || value > static_cast<int>(last))
        throw parse_error("unknown enumerator " + std::to_string(value));
    return static_cast<Enum>(value);
}

template <class Value>
nlohmann::json optional_json(std::optional<Value> const& value)
{
    return value ? nlohmann::json(*value) : nlohmann::json(nullptr);
}

template <class Value>
std::optional<Value> optional_from(nlohmann::json const& in)
{
    return in.is_null() ? std::nullopt : std::optional<Value>(in.get<Value>());
}

} // namespace

void to_json(nlohmann::json& out, at_most_once_key const& in)
{
    out = {in.account, in.service, in.key};
}

void from_json(nlohmann::json const& in, at_most_once_key& out)
{
    in.at(0).get_to(out.account);
    in.at(1).get_to(out.service);
    in.at(2).get_to(out.key);
}

void to_json(nlohmann::json& out, stored_answer const& in)
{
    // Stored as bytes, because an answer need not be valid UTF-8.
    std::vector<std::uint8_t> const body(in.body.begin(), in.body.end());
    out = {{"status", in.status},
           {"content_type", in.content_type},
           {"body", nlohmann::json::binary(body)}};
}

void from_json(nlohmann::json const& in, stored_answer& out)
{
    in.at("status").get_to(out.status);
    in.at("content_type").get_to(out.content_type);
    auto const& body = in.at("body").get_binary();
    out.body.assign(body.begin(), body.end());
}

void to_json(nlohmann::json& out, at_most_once_begin const& in)
{
    out = {{"key", in.key},
           {"body_digest", in.body_digest},
           {"attempt", in.attempt},
           {"arrived", in.arrived},
           {"deadline", in.deadline}};
}

void from_json(nlohmann::json const& in, at_most_once_begin& out)
{
    in.at("key").get_to(out.key);
    in.at("body_digest").get_to(out.body_digest);
    in.at("attempt").get_to(out.attempt);
    in.at("arrived").get_to(out.arrived);
    in.at("deadline").get_to(out.deadline);
}

void to_json(nlohmann::json& out, at_most_once_refuse const& in)
{
    out = {{"key", in.key},
           {"body_digest", in.body_digest},
           {"attempt", in.attempt},
           {"retry_after", in.retry_after}};
}

void from_json(nlohmann::json const& in, at_most_once_refuse& out)
{
    in.at("key").get_to(out.key);
    in.at("body_digest").get_to(out.body_digest);
    in.at("attempt").get_to(out.attempt);
    in.at("retry_after").get_to(out.retry_after);
}

void to_json(nlohmann::json& out, at_most_once_finish const& in)
{
    out = {{"key", in.key}, {"attempt", in.attempt}, {"answer", optional_json(in.answer)}};
}

void from_json(nlohmann::json const& in, at_most_once_finish& out)
{
    in.at("key").get_to(out.key);
    in.at("attempt").get_to(out.attempt);
    out.answer = optional_from<stored_answer>(in.at("answer"));
}

void to_json(nlohmann::json& out, at_most_once_reply const& in)
{
    out = {{"verdict", static_cast<int>(in.verdict)},
           {"attempt", in.attempt},
           {"answer", optional_json(in.answer)},
           {"reopen_at", in.reopen_at}};
}

void from_json(nlohmann::json const& in, at_most_once_reply& out)
{
    out.verdict = enum_from(in.at("verdict"), at_most_once_verdict::conflict);
    in.at("attempt").get_to(out.attempt);
    out.answer = optional_from<stored_answer>(in.at("answer"));
    in.at("reopen_at").get_to(out.reopen_at);
}

void to_json(nlohmann::json& out, at_most_once_table::retired_attempt const& in)
{
    out = {in.attempt, in.retired_at};
}

void from_json(nlohmann::json const& in, at_most_once_table::retired_attempt& out)
{
    in.at(0).get_to(out.attempt);
    in.at(1).get_to(out.retired_at);
}

void to_json(nlohmann::json& out, at_most_once_table::record const& in)
{
    out = {{"state", static_cast<int>(in.state)},
           {"body_digest", in.body_digest},
           {"attempt", in.attempt},
           {"deadline", in.deadline},
           {"changed", in.changed},
           {"reopen_at", in.reopen_at},
           {"answer", optional_json(in.answer)},
           {"retired", in.retired}};
}

void from_json(nlohmann::json const& in, at_most_once_table::record& out)
{
    out.state = enum_from(in.at("state"), at_most_once_state::refused);
    in.at("body_digest").get_to(out.body_digest);
    in.at("attempt").get_to(out.attempt);
    in.at("deadline").get_to(out.deadline);
    in.at("changed").get_to(out.changed);
    in.at("reopen_at").get_to(out.reopen_at);
    out.answer = optional_from<stored_answer>(in.at("answer"));
    in.at("retired").get_to(out.retired);
}

nlohmann::json at_most_once_table::snapshot() const
{
    auto list = nlohmann::json::array();
    for (auto const& [key, existing] : this->records)
        list.push_back({{"key", key}, {"record", existing}});
    return list;
}

void at_most_once_table::restore(nlohmann::json const& state)
{
    at_most_once_table restored;
    try
    {
        for (auto const& item : state)
        {
            auto const key = item.at("key").get<at_most_once_key>();
            auto existing = item.at("record").get<record>();
            restored.due.emplace(due_time(existing), key);
            restored.records.emplace(key, std::move(existing));
        }
    }
    catch (nlohmann::json::exception const& failure)
    {
        throw parse_error(std::string("the at-most-once records cannot be read: ") +
                          failure.what());
    }
    *this = std::move(restored);
}

} // namespace lagoonladder::request
