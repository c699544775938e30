#include "placement_explanation.hpp"

#include <algorithm>

#include "call_timing.hpp"
#include "evacuation_watch.hpp"
#include "home_regions.hpp"
#include "placement_json.hpp"

namespace lagoonladder::proxy
{

namespace
{

/// Ids that are tried to find one for each service and version. Shares of less than about a
/// thousandth may be missed.
constexpr std::size_t max_tried_ids = 20'000;
/// Decisions of the overload admission that are asked for, since it decides by chance near its
/// limits.
constexpr std::size_t admission_samples = 16;

/// Returns the sum of the weights by service.
std::map<service_name, double> service_shares(version::pass_through_route const& route)
{
    std::map<service_name, double> shares;
    double total = 0;
    for (auto const& target : route.split)
        total += target.weight;
    for (auto const& target : route.split)
    {
        if (target.weight > 0)
            shares[target.service] += target.weight / total;
    }
    return shares;
}

/// Returns the fractions of the calls of a service by the version that the move assigns.
std::map<version_name, double> version_shares(traffic_view const& view, service_name const& service)
{
    auto const found = view.splits.find(service);
    if (found == view.splits.end() || found->second.candidate.value().empty())
        return {{version_name(), 1}};
    auto const share = std::clamp(found->second.candidate_share, 0.0, 1.0);
    std::map<version_name, double> shares;
    if (share < 1)
        shares[found->second.stable] = 1 - share;
    if (share > 0)
        shares[found->second.candidate] = share;
    return shares;
}

version_name assigned_version(traffic_view const& view, service_name const& service,
                              request_id const& id)
{
    auto const found = view.splits.find(service);
    bool const is_moving = found != view.splits.end() && !found->second.candidate.value().empty();
    return is_moving ? found->second.choose(id) : version_name();
}

bool is_final(call_admission const& admission)
{
    return admission.reason != refusal::none && admission.reason != refusal::over_quota;
}

} // namespace

placement_explanation::placement_explanation(proxy_context const& shared,
                                             traffic_view const& current_view)
    : context(shared)
    , view(current_view)
    , now(shared.dependencies.time.now())
{
}

incoming_call placement_explanation::make_call(placement_query const& query) const
{
    incoming_call call;
    call.id = request_id("explain");
    call.host = query.host;
    call.target = query.path;
    call.tokens = query.tokens;
    call.prompt = query.prompt;
    call.time_left = query.time_left;
    if (!query.account || !this->view.services)
        return call;
    auto const* account = this->view.services->find_account(*query.account);
    if (account == nullptr)
        throw unknown_placement("unknown account \"" + query.account->value() + "\"");
    if (account->keys.empty())
        throw unknown_placement("account \"" + query.account->value() + "\" has no key");
    call.account_key = account->keys.front();
    return call;
}

nlohmann::json placement_explanation::explain(placement_query const& query) const
{
    auto call = this->make_call(query);
    auto admission = resolve_call(this->now, this->now, this->view, call);
    if (admission.reason == refusal::unknown_route)
        throw unknown_placement(describe_missing_route(*admission.services, query));
    nlohmann::json out;
    out["view"] = describe_view(this->now, this->view);
    if (admission.route != nullptr)
    {
        call.regions = find_regions(*admission.route, admission.account);
        out["route"] = describe_route(*admission.route, call.regions);
        out["account"] = admission.account == nullptr
                             ? nlohmann::json()
                             : nlohmann::json(admission.account->name.value());
        out["priority"] = effective_priority(*admission.route, admission.account);
    }
    if (admission.reason == refusal::none &&
        this->context.crashes.would_refuse(this->now, this->view, call))
        admission.reason = refusal::quarantined_prompt;
    if (admission.reason == refusal::none)
        out["quota"] = this->explain_quota(call, admission);
    out["services"] = nlohmann::json::array();
    if (is_final(admission))
    {
        out["admission"] = describe_refusal(admission);
        this->add_waiting(admission, out["admission"]);
    }
    if (admission.route == nullptr)
        return out;
    auto const groups = this->find_groups(*admission.route);
    for (auto const& [service, share] : service_shares(*admission.route))
    {
        admission.service = service;
        std::vector<call_group> own;
        std::copy_if(groups.begin(), groups.end(), std::back_inserter(own),
                     [&](auto const& group) { return group.service == admission.service; });
        out["services"].push_back(this->explain_service(call, admission, own, share));
    }
    return out;
}

nlohmann::json placement_explanation::explain_quota(incoming_call const& call,
                                                    call_admission& admission) const
{
    if (admission.account == nullptr || !admission.account->quota)
        return nullptr;
    auto quotas = this->context.quotas;
    auto const& tolerance = this->context.options.quota;
    auto const inputs = make_quota_inputs(this->view, *admission.account, tolerance);
    // Adds the tokens that accrued since the last call.
    quotas.take(this->now, admission.account->name, inputs.limit, inputs.peers, 0);
    auto const left = quotas.available(admission.account->name).value_or(0);
    take_quota_tokens(this->now, this->view, call, quotas, tolerance, admission);
    return describe_quota(this->view, admission, left);
}

std::vector<placement_explanation::call_group>
placement_explanation::find_groups(version::pass_through_route const& route) const
{
    std::vector<call_group> missing;
    for (auto const& [service, service_share] : service_shares(route))
    {
        for (auto const& [version, share] : version_shares(this->view, service))
            missing.push_back({request_id(), service, version, share});
    }
    std::vector<call_group> found;
    for (std::size_t i = 0; i < max_tried_ids && !missing.empty(); ++i)
    {
        request_id const id("explain-" + std::to_string(i));
        auto const service = choose_service(route, id);
        auto const version = assigned_version(this->view, service, id);
        auto const match =
            std::find_if(missing.begin(), missing.end(),
                         [&](auto const& group)
                         { return group.service == service && group.version == version; });
        if (match == missing.end())
            continue;
        match->id = id;
        found.push_back(*match);
        missing.erase(match);
    }
    return found;
}

nlohmann::json placement_explanation::explain_service(incoming_call const& call,
                                                      call_admission const& admission,
                                                      std::vector<call_group> const& groups,
                                                      double service_share) const
{
    nlohmann::json out{{"service", admission.service}, {"share", service_share}};
    out["versions"] = nlohmann::json::array();
    std::map<endpoint_id, endpoint_explanation> rows;
    bool is_sampled = false;
    for (auto const& group : groups)
    {
        auto member = call;
        member.id = group.id;
        auto const choice = this->context.chooser.explain(this->now, this->view, *admission.route,
                                                          group.service, member);
        is_sampled = is_sampled || choice.is_sampled;
        double total = 0;
        for (auto row : choice.endpoints)
        {
            total += row.chance;
            row.chance *= group.share;
            merge_row(row, rows);
        }
        auto description = this->explain_outcome(member, admission, total > 0);
        description["version"] = group.version;
        description["share"] = group.share;
        out["versions"].push_back(std::move(description));
    }
    out["chances_are_sampled"] = is_sampled;
    out["endpoints"] = describe_rows(rows);
    return out;
}

nlohmann::json placement_explanation::explain_outcome(incoming_call const& call,
                                                      call_admission admission,
                                                      bool has_endpoint) const
{
    nlohmann::json capacity;
    double refused_share = 0;
    if (!is_final(admission))
        refused_share = this->check_capacity(call, admission, capacity);
    if (admission.reason == refusal::none && this->context.is_stopping)
        admission.reason = refusal::overloaded;
    if (admission.reason == refusal::none && !has_endpoint)
    {
        auto const wait = this->context.chooser.time_until_room(this->now, this->view,
                                                                admission.service, call, {});
        bool const is_cold = wait && *wait > duration(0);
        admission.reason = is_cold ? refusal::cold_endpoints : refusal::no_endpoint;
        admission.retry_after = is_cold ? *wait : duration(0);
    }
    auto out = describe_refusal(admission);
    if (admission.reason == refusal::no_endpoint &&
        has_only_evacuated_endpoints(this->view, admission.service))
        out["detail"] = "all endpoints of the service are in evacuated data centres";
    if (!capacity.is_null())
    {
        out["capacity"] = std::move(capacity);
        out["capacity"]["refused_share"] = refused_share;
    }
    this->add_waiting(admission, out);
    return out;
}

double placement_explanation::check_capacity(incoming_call const& call, call_admission& admission,
                                             nlohmann::json& outcome) const
{
    null_event_sink events;
    observability::metrics metrics;
    std::size_t refusals = 0;
    std::optional<call_admission> refused;
    for (std::size_t seed = 0; seed < admission_samples; ++seed)
    {
        overload_gate gate(this->context.overload, events, metrics);
        seeded_random random(seed);
        auto checked = admission;
        gate.check(this->now, this->view, call, this->context.chooser, random, checked);
        auto const* load = gate.last_load(admission.service);
        if (load == nullptr)
            return 0;
        outcome = describe_load(*load);
        if (checked.reason != refusal::no_capacity)
            continue;
        ++refusals;
        refused = std::move(checked);
    }
    for (auto const& field : refused ? refused->capacity_detail : std::vector<event_field>())
        outcome.emplace(field.key, field.value);
    if (2 * refusals > admission_samples)
        admission = *refused;
    return static_cast<double>(refusals) / admission_samples;
}

void placement_explanation::add_waiting(call_admission const& admission,
                                        nlohmann::json& outcome) const
{
    if (admission.reason == refusal::no_configuration)
    {
        outcome["outcome"] = "waits";
        outcome["waits_for"] = "configuration";
        return;
    }
    if (admission.reason == refusal::over_quota && this->view.entries > 1)
    {
        auto borrowing = this->context.borrowing;
        bool const is_asked = borrowing.begin_round(this->now, admission.account->name,
                                                    admission.quota_demand.quota_holder_count > 0,
                                                    admission.quota_tokens);
        if (!is_asked)
            return;
        outcome["outcome"] = "waits";
        outcome["waits_for"] = "tokens_of_other_entries";
        return;
    }
    bool const has_queue =
        outcome.contains("capacity") && outcome["capacity"].value("waiting", 0.0) > 0;
    if (admission.reason == refusal::none && has_queue)
    {
        outcome["outcome"] = "waits";
        outcome["waits_for"] = "engine";
    }
}

} // namespace lagoonladder::proxy
