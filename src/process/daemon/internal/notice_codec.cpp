#include "notice_codec.hpp"

#include <nlohmann/json.hpp>

namespace lagoonladder::daemon
{

namespace
{

constexpr int prompt_kind = 1;
constexpr int evidence_kind = 2;
/// Older evidence has no effect, and its age would not fit into the clock's range.
constexpr duration max_age = std::chrono::hours(1);

std::string pack(nlohmann::json const& fields)
{
    std::string bytes;
    nlohmann::json::to_msgpack(fields, bytes);
    return bytes;
}

duration::rep age_of(time_point now, time_point when)
{
    return std::max(now - when, duration(0)).count();
}

time_point decode_age(time_point now, nlohmann::json const& age)
{
    auto const elapsed = duration(age.get<duration::rep>());
    if (elapsed < duration(0) || elapsed > max_age)
        throw parse_error("the age of the evidence is out of range");
    return now - elapsed;
}

nlohmann::json encode_part(time_point now, request::part_evidence const& evidence)
{
    auto crashes = nlohmann::json::array();
    for (auto const& [crash, position] : evidence.crashes)
        crashes.push_back({crash.reporter.value(), crash.number, crash.engine.value(),
                           age_of(now, crash.sent_at), age_of(now, crash.ended_at), position});
    nlohmann::json answer_age;
    if (evidence.answered_at)
        answer_age = age_of(now, *evidence.answered_at);
    return nlohmann::json::array({evidence.part, crashes, answer_age});
}

request::part_evidence decode_part(time_point now, nlohmann::json const& fields)
{
    request::part_evidence evidence;
    evidence.part = fields.at(0).get<std::uint64_t>();
    for (auto const& item : fields.at(1))
    {
        request::crash_evidence added;
        added.crash.reporter = vm_id(item.at(0).get<std::string>());
        added.crash.number = item.at(1).get<std::uint64_t>();
        added.crash.engine = endpoint_id(item.at(2).get<std::string>());
        added.crash.sent_at = decode_age(now, item.at(3));
        added.crash.ended_at = decode_age(now, item.at(4));
        added.position = item.at(5).get<std::uint32_t>();
        evidence.crashes.push_back(std::move(added));
    }
    if (!fields.at(2).is_null())
        evidence.answered_at = decode_age(now, fields.at(2));
    return evidence;
}

proxy::prompt_notice decode_prompt(nlohmann::json const& fields)
{
    proxy::prompt_notice notice;
    notice.engine = endpoint_id(fields.at(2).get<std::string>());
    notice.incarnation = incarnation(fields.at(3).get<std::uint64_t>());
    for (auto const& part : fields.at(4))
        notice.prompt.push_back({part.at(0).get<std::uint64_t>(), part.at(1).get<std::uint64_t>()});
    return notice;
}

decoded_notice decode_fields(std::string const& token, time_point now, nlohmann::json const& fields)
{
    if (fields.at(0).get<std::string>() != token)
        return std::monostate();
    auto const kind = fields.at(1).get<int>();
    if (kind == prompt_kind)
        return decode_prompt(fields);
    if (kind != evidence_kind)
        throw parse_error("the kind of the notice is unknown");
    evidence_list evidence;
    for (auto const& part : fields.at(2))
        evidence.push_back(decode_part(now, part));
    return evidence;
}

} // namespace

std::string encode_notice(std::string const& token, proxy::prompt_notice const& notice)
{
    auto parts = nlohmann::json::array();
    for (auto const& part : notice.prompt)
        parts.push_back({part.hash, part.tokens});
    return pack(nlohmann::json::array(
        {token, prompt_kind, notice.engine.value(), notice.incarnation.value(), parts}));
}

std::vector<std::string> encode_notices(std::string const& token, time_point now,
                                        evidence_list const& evidence, std::size_t max_bytes)
{
    auto const encode = [&](nlohmann::json const& parts) {
        return pack(nlohmann::json::array({token, evidence_kind, parts}));
    };
    std::vector<std::string> datagrams;
    auto parts = nlohmann::json::array();
    std::string datagram;
    for (auto const& item : evidence)
    {
        parts.push_back(encode_part(now, item));
        auto extended = encode(parts);
        if (extended.size() > max_bytes && !datagram.empty())
        {
            datagrams.push_back(std::exchange(datagram, {}));
            parts = nlohmann::json::array({parts.back()});
            extended = encode(parts);
        }
        if (extended.size() <= max_bytes)
            datagram = std::move(extended);
        else
            parts.clear();
    }
    if (!datagram.empty())
        datagrams.push_back(std::move(datagram));
    return datagrams;
}

decoded_notice decode_notice(std::string const& token, time_point now, std::string_view bytes)
{
    try
    {
        return decode_fields(token, now, nlohmann::json::from_msgpack(bytes));
    }
    catch (nlohmann::json::exception const& problem)
    {
        throw parse_error(std::string("malformed notice: ") + problem.what());
    }
}

} // namespace lagoonladder::daemon
