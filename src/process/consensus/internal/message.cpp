#include <lagoonladder/consensus/message.hpp>

#include "encoding.hpp"

namespace lagoonladder::consensus
{

namespace
{

template <class Value>
void put_unless_default(nlohmann::json& out, char const* key, Value const& value)
{
    if (value != Value{})
        out[key] = value;
}

template <class Value>
void get_if_present(nlohmann::json const& in, char const* key, Value& value)
{
    if (auto const found = in.find(key); found != in.end())
        found->get_to(value);
}

nlohmann::json encode_part(snapshot_part const& part)
{
    return nlohmann::json::array({part.membership, part.offset, part.total, to_binary(part.data)});
}

snapshot_part decode_part(nlohmann::json const& in)
{
    snapshot_part part;
    in.at(0).get_to(part.membership);
    in.at(1).get_to(part.offset);
    in.at(2).get_to(part.total);
    part.data = from_binary(in.at(3));
    return part;
}

} // namespace

void to_json(nlohmann::json& out, message const& value)
{
    out = {{"type", static_cast<int>(value.type)},
           {"from", value.from},
           {"to", value.to},
           {"term", value.term}};
    put_unless_default(out, "index", value.index);
    put_unless_default(out, "log_term", value.log_term);
    put_unless_default(out, "commit", value.commit);
    put_unless_default(out, "round", value.round);
    put_unless_default(out, "reply_number", value.reply_number);
    put_unless_default(out, "rejected", value.rejected);
    put_unless_default(out, "hint_index", value.hint_index);
    put_unless_default(out, "hint_term", value.hint_term);
    put_unless_default(out, "entries", value.entries);
    put_unless_default(out, "received", value.received);
    put_unless_default(out, "context", value.context);
    if (value.part)
        out["part"] = encode_part(*value.part);
}

void from_json(nlohmann::json const& in, message& value)
{
    value = {};
    value.type = to_enum(in.at("type"), message_type::read_reply);
    in.at("from").get_to(value.from);
    in.at("to").get_to(value.to);
    in.at("term").get_to(value.term);
    get_if_present(in, "index", value.index);
    get_if_present(in, "log_term", value.log_term);
    get_if_present(in, "commit", value.commit);
    get_if_present(in, "round", value.round);
    get_if_present(in, "reply_number", value.reply_number);
    get_if_present(in, "rejected", value.rejected);
    get_if_present(in, "hint_index", value.hint_index);
    get_if_present(in, "hint_term", value.hint_term);
    get_if_present(in, "entries", value.entries);
    get_if_present(in, "received", value.received);
    get_if_present(in, "context", value.context);
    if (auto const part = in.find("part"); part != in.end())
        value.part = decode_part(*part);
}

std::string encode_message(message const& value)
{
    std::string bytes;
    nlohmann::json::to_msgpack(value, bytes);
    return bytes;
}

message decode_message(std::string const& bytes)
{
    try
    {
        return nlohmann::json::from_msgpack(bytes).get<message>();
    }
    catch (nlohmann::json::exception const& problem)
    {
        throw consensus_error(std::string("malformed consensus message: ") + problem.what());
    }
}

std::string encode_membership(membership const& members)
{
    std::string bytes;
    nlohmann::json::to_msgpack(members, bytes);
    return bytes;
}

membership decode_membership(std::string const& bytes)
{
    try
    {
        return nlohmann::json::from_msgpack(bytes).get<membership>();
    }
    catch (nlohmann::json::exception const& problem)
    {
        throw consensus_error(std::string("malformed membership entry: ") + problem.what());
    }
}

} // namespace lagoonladder::consensus
