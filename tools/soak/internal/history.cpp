#include <lagoonladder/soak.hpp>

namespace lagoonladder::soak
{

namespace
{

double to_milliseconds(run_time time)
{
    return static_cast<double>(time.count()) / 1000;
}

} // namespace

std::string to_string(fault_kind kind)
{
    switch (kind)
    {
    case fault_kind::start:
        return "start";
    case fault_kind::kill:
        return "kill";
    case fault_kind::stop:
        return "stop";
    case fault_kind::resume:
        return "resume";
    case fault_kind::terminate:
        return "terminate";
    case fault_kind::exit:
        return "exit";
    case fault_kind::reload:
        return "reload";
    case fault_kind::lose_disk:
        return "lose_disk";
    case fault_kind::replace:
        return "replace";
    case fault_kind::fill_disk:
        return "fill_disk";
    case fault_kind::free_disk:
        return "free_disk";
    case fault_kind::kill_core:
        return "kill_core";
    case fault_kind::busy:
        return "busy";
    case fault_kind::idle:
        return "idle";
    }
    throw std::logic_error("unknown kind of fault");
}

void to_json(nlohmann::json& json, change_event const& event)
{
    json = {{"event", "change"},        {"at_ms", to_milliseconds(event.at)},
            {"version", event.version}, {"valid", event.valid},
            {"added", event.added},     {"removed", event.removed}};
}

void to_json(nlohmann::json& json, put_event const& event)
{
    json = {{"event", "put"},
            {"sent_ms", to_milliseconds(event.sent)},
            {"at_ms", to_milliseconds(event.ended)},
            {"entry", event.entry},
            {"version", event.version},
            {"status", event.status}};
}

void to_json(nlohmann::json& json, read_event const& event)
{
    json = {{"event", "read"},
            {"sent_ms", to_milliseconds(event.sent)},
            {"at_ms", to_milliseconds(event.ended)},
            {"entry", event.entry},
            {"version", event.version},
            {"status", event.status},
            {"intact", event.intact}};
}

void to_json(nlohmann::json& json, call_event const& event)
{
    json = {{"event", "call"},
            {"sent_ms", to_milliseconds(event.sent)},
            {"at_ms", to_milliseconds(event.ended)},
            {"entry", event.entry},
            {"route", event.route},
            {"status", event.status},
            {"id", event.id}};
}

void to_json(nlohmann::json& json, fault_event const& event)
{
    json = {{"event", "fault"},
            {"at_ms", to_milliseconds(event.at)},
            {"entry", event.entry},
            {"kind", to_string(event.kind)},
            {"disk", event.has_disk}};
}

void to_json(nlohmann::json& json, final_event const& event)
{
    json = {{"event", "final"},
            {"killed_ms", to_milliseconds(event.killed)},
            {"at_ms", to_milliseconds(event.back)},
            {"entries", event.entries}};
}

} // namespace lagoonladder::soak
