#include <lagoonladder/connection/endpoint_record.hpp>

#include <algorithm>
#include <limits>

#include <json_fields.hpp>

namespace lagoonladder::connection
{

namespace
{

constexpr char const* cold_field = "cold_ms";

void write_cold_remaining(nlohmann::json& out, std::optional<duration> const& cold_remaining)
{
    constexpr std::int64_t max_ms = std::numeric_limits<std::uint32_t>::max();
    if (cold_remaining)
        out[cold_field] = std::clamp<std::int64_t>(*cold_remaining / milliseconds(1), 0, max_ms);
}

/// Returns no value when the field is missing, as in rows of earlier releases.
std::optional<duration> read_cold_remaining(nlohmann::json const& in)
{
    if (!in.contains(cold_field))
        return std::nullopt;
    std::uint32_t cold_ms = 0;
    read_field(in, cold_field, cold_ms);
    return milliseconds(cold_ms);
}

} // namespace

void to_json(nlohmann::json& out, load_report const& in)
{
    out = {{"running", in.running},
           {"waiting", in.waiting},
           {"slots", in.slots},
           {"tokens_per_second", in.tokens_per_second}};
}

void from_json(nlohmann::json const& in, load_report& out)
{
    load_report report;
    read_field(in, "running", report.running);
    read_field(in, "waiting", report.waiting);
    read_field(in, "slots", report.slots);
    read_field(in, "tokens_per_second", report.tokens_per_second);
    out = report;
}

void to_json(nlohmann::json& out, endpoint_record const& in)
{
    out = {{"id", in.id},
           {"service", in.service},
           {"version", in.version},
           {"address", in.address},
           {"vm", in.vm},
           {"data_centre", in.data_centre},
           {"zone", in.zone},
           {"machine_class", in.machine_class},
           {"reclaimable", in.reclaimable},
           {"checks_fencing", in.checks_fencing},
           {"state", state_text(in.state)},
           {"incarnation", in.incarnation},
           {"sequence", in.sequence},
           {"load", in.load}};
    write_cold_remaining(out, in.cold_remaining);
    write_age(out, in.renewal_age);
}

void from_json(nlohmann::json const& in, endpoint_record& out)
{
    endpoint_record endpoint;
    read_id(in, "id", endpoint.id);
    read_id(in, "service", endpoint.service);
    read_id(in, "version", endpoint.version);
    read_id(in, "address", endpoint.address);
    read_id(in, "vm", endpoint.vm);
    read_id(in, "data_centre", endpoint.data_centre);
    read_id(in, "zone", endpoint.zone);
    read_field(in, "machine_class", endpoint.machine_class);
    read_field(in, "reclaimable", endpoint.reclaimable);
    read_field(in, "checks_fencing", endpoint.checks_fencing);
    read_state(in, "state", endpoint.state);
    read_field(in, "incarnation", endpoint.incarnation);
    read_field(in, "sequence", endpoint.sequence);
    require_field(in, "load").get_to(endpoint.load);
    endpoint.cold_remaining = read_cold_remaining(in);
    endpoint.renewal_age = read_age(in);
    out = std::move(endpoint);
}

} // namespace lagoonladder::connection
