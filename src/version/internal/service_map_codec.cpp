#include <lagoonladder/version/service_map.hpp>

#include <service_map.pb.h>

namespace lagoonladder::version
{

namespace
{

constexpr std::uint32_t current_format = 1;

void write(pass_through_route const& in, protocol::PassRoute& out)
{
    out.set_name(in.name.value());
    out.set_host(in.host);
    out.set_path_prefix(in.path_prefix);
    out.set_at_most_once(in.retry == retry_policy::at_most_once);
    out.set_stream(in.is_stream);
    out.set_resumable(in.is_resumable);
    out.set_prefix_affinity(in.has_prefix_affinity);
    out.set_anonymous(in.is_anonymous);
    out.set_timeout_us(in.timeout.count());
    out.set_latency_objective_us(in.latency_objective.count());
    out.set_gap_objective_us(in.gap_objective.count());
    out.set_priority(in.priority);
    out.set_max_attempts(in.max_attempts);
    for (auto const& part : in.split)
    {
        auto& target = *out.add_split();
        target.set_service(part.service.value());
        target.set_weight(part.weight);
    }
    for (auto const& region : in.regions)
        out.add_regions(region.value());
}

pass_through_route read(protocol::PassRoute& in)
{
    pass_through_route out;
    out.name = route_name(std::move(*in.mutable_name()));
    out.host = std::move(*in.mutable_host());
    out.path_prefix = std::move(*in.mutable_path_prefix());
    out.retry = in.at_most_once() ? retry_policy::at_most_once : retry_policy::idempotent;
    out.is_stream = in.stream();
    out.is_resumable = in.resumable();
    out.has_prefix_affinity = in.prefix_affinity();
    out.is_anonymous = in.anonymous();
    out.timeout = microseconds(in.timeout_us());
    out.latency_objective = microseconds(in.latency_objective_us());
    out.gap_objective = microseconds(in.gap_objective_us());
    out.priority = in.priority();
    out.max_attempts = in.max_attempts();
    for (auto const& part : in.split())
        out.split.push_back({service_name(part.service()), part.weight()});
    for (auto const& region : in.regions())
        out.regions.emplace_back(region);
    return out;
}

void write(scaling_limits const& in, protocol::ScalingLimits& out)
{
    out.set_least(in.min_replicas);
    out.set_most(in.max_replicas);
    out.set_start_time_us(in.start_time.count());
    out.set_reclaimable_price(in.reclaimable_price);
    for (auto const& [data_centre, price] : in.prices)
    {
        auto& target = *out.add_prices();
        target.set_data_centre(data_centre.value());
        target.set_price(price);
    }
}

scaling_limits read(protocol::ScalingLimits const& in)
{
    scaling_limits out;
    out.min_replicas = in.least();
    out.max_replicas = in.most();
    out.start_time = microseconds(in.start_time_us());
    out.reclaimable_price = in.reclaimable_price();
    for (auto const& item : in.prices())
        out.prices.emplace(data_centre_id(item.data_centre()), item.price());
    return out;
}

void write(pass_through_service const& in, protocol::PassService& out)
{
    out.set_name(in.name.value());
    out.set_health_path(in.health_path);
    out.set_max_connections(in.max_connections);
    out.set_engine(in.is_engine);
    out.set_engine_slots(in.engine_slots);
    out.set_engine_memory_tokens(in.engine_memory_tokens);
    if (in.scaling)
        write(*in.scaling, *out.mutable_scaling());
    out.set_cold_rate(in.cold_rate);
    out.set_cold_time_us(in.cold_time.count());
}

pass_through_service read(protocol::PassService const& in)
{
    pass_through_service out;
    out.name = service_name(in.name());
    out.health_path = in.health_path();
    out.max_connections = in.max_connections();
    out.is_engine = in.engine();
    out.engine_slots = in.engine_slots();
    out.engine_memory_tokens = in.engine_memory_tokens();
    if (in.has_scaling())
        out.scaling = read(in.scaling());
    out.cold_rate = in.cold_rate();
    out.cold_time = microseconds(in.cold_time_us());
    return out;
}

void write(pass_through_account const& in, protocol::PassAccount& out)
{
    out.set_name(in.name.value());
    for (auto const& key : in.keys)
        out.add_keys(key);
    if (in.priority)
        out.set_priority(*in.priority);
    for (auto const& region : in.regions)
        out.add_regions(region.value());
    if (!in.quota)
        return;
    auto& quota = *out.mutable_quota();
    quota.set_tokens_per_second(in.quota->tokens_per_second);
    quota.set_burst(in.quota->burst);
    quota.set_default_tokens(in.quota->default_tokens);
}

pass_through_account read(protocol::PassAccount const& in)
{
    pass_through_account out;
    out.name = account_id(in.name());
    out.keys.assign(in.keys().begin(), in.keys().end());
    if (in.has_priority())
        out.priority = in.priority();
    if (in.has_quota())
        out.quota = token_quota{in.quota().tokens_per_second(), in.quota().burst(),
                                in.quota().default_tokens()};
    for (auto const& region : in.regions())
        out.regions.emplace_back(region);
    return out;
}

void write(caller_limits const& in, protocol::CallerLimits& out)
{
    out.set_max_header_bytes(in.max_header_bytes);
    out.set_max_body_bytes(in.max_body_bytes);
    out.set_header_timeout_us(in.header_timeout.count());
    out.set_idle_timeout_us(in.idle_timeout.count());
}

caller_limits read(protocol::CallerLimits const& in)
{
    return {in.max_header_bytes(), in.max_body_bytes(), microseconds(in.header_timeout_us()),
            microseconds(in.idle_timeout_us())};
}

} // namespace

std::string encode(service_configuration const& value)
{
    protocol::ServiceConfiguration out;
    out.set_format(current_format);
    out.set_number(value.map.number);
    for (auto const& route : value.map.routes)
        write(route, *out.add_routes());
    for (auto const& service : value.map.services)
        write(service, *out.add_services());
    for (auto const& account : value.map.accounts)
        write(account, *out.add_accounts());
    out.set_keyless(!value.map.requires_key);
    write(value.map.limits, *out.mutable_limits());
    out.set_document(value.document);
    return out.SerializeAsString();
}

service_configuration decode_service_configuration(std::string const& bytes)
{
    protocol::ServiceConfiguration in;
    if (!in.ParseFromString(bytes) || in.format() != current_format)
        throw parse_error("a packed pass-through configuration cannot be read");
    service_configuration out;
    out.map.number = in.number();
    out.map.routes.reserve(static_cast<std::size_t>(in.routes_size()));
    for (auto& route : *in.mutable_routes())
        out.map.routes.push_back(read(route));
    for (auto const& service : in.services())
        out.map.services.push_back(read(service));
    for (auto const& account : in.accounts())
        out.map.accounts.push_back(read(account));
    out.map.requires_key = !in.keyless();
    out.map.limits = read(in.limits());
    out.document = std::move(*in.mutable_document());
    return out;
}

} // namespace lagoonladder::version
