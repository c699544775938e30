#include <directory_routes.hpp>

#include <lagoonladder/completion/route_table.hpp>

namespace lagoonladder::completion
{

namespace
{

void require_endpoint_token(traffic_context& context, api_exchange const& exchange)
{
    if (!secret_equals(bearer_token(exchange), context.config.endpoint_token))
        throw refusal({401, "unauthorized", "the endpoint token is missing or wrong"});
}

void list_entries(traffic_context& context, entry_selector& selector, api_exchange& exchange)
{
    auto const view = ready_view(context, execution::no);
    auto const caller =
        exchange.has_parameter("caller") ? exchange.parameter("caller") : exchange.caller();
    auto entries = nlohmann::json::array();
    for (auto const& entry : selector.list_for(*view, caller))
        entries.push_back(
            {{"vm", entry.vm}, {"address", entry.http}, {"data_centre", entry.data_centre}});
    auto const max_age =
        std::chrono::duration_cast<seconds>(context.config.entry_list_max_age).count();
    exchange.set_header("Cache-Control", "max-age=" + std::to_string(max_age));
    nlohmann::json const body{{"entries", std::move(entries)}, {"max_age_s", max_age}};
    exchange.respond_json(200, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void check_service(control_view const& view, connection::endpoint_record const& record)
{
    if (!view.shared->configuration.find_service(record.service))
        throw refusal(
            {422, "unknown-service",
             "field \"service\": no service \"" + record.service.value() + "\" is configured"});
    if (record.version.value().empty())
        throw refusal({422, "bad-field", "field \"version\" must not be empty"});
}

/// Responds to an endpoint whose leaving no other entry knows yet.
void refuse_acknowledgement(api_exchange& exchange)
{
    exchange.refuse({503, "not-replicated", "no other entry has confirmed the change in time"});
}

void announce_endpoint(traffic_context& context, std::shared_ptr<api_exchange> const& exchange)
{
    require_endpoint_token(context, *exchange);
    auto const view = ready_view(context, execution::no);
    auto const body = parse_json_body(*exchange);
    connection::endpoint_record record;
    try
    {
        body.get_to(record);
    }
    catch (std::exception const& exception)
    {
        throw refusal({400, "bad-field", exception.what()});
    }
    if (record.id.value() != exchange->argument())
        throw refusal({400, "bad-field", "field \"id\" differs from the id in the path"});
    check_service(*view, record);
    context.control.announce(std::move(record),
                             [exchange, lease = context.config.endpoint_lease](bool is_acknowledged)
                             {
                                 if (!is_acknowledged)
                                     return refuse_acknowledgement(*exchange);
                                 nlohmann::json const response{{"lease_us", lease}};
                                 exchange->respond_json(200, response.dump());
                             });
}

void remove_endpoint(traffic_context& context, std::shared_ptr<api_exchange> const& exchange)
{
    require_endpoint_token(context, *exchange);
    context.control.remove_endpoint(endpoint_id(exchange->argument()),
                                    [exchange](bool is_acknowledged)
                                    {
                                        if (!is_acknowledged)
                                            return refuse_acknowledgement(*exchange);
                                        exchange->respond(204, {}, {});
                                    });
}

} // namespace

void directory_routes::register_routes(route_table& routes)
{
    auto& shared_context = this->context;
    routes.add("GET", "/v1/entries",
               [this](auto const& exchange)
               { list_entries(this->context, this->entries, *exchange); });
    routes.add_prefix("PUT", "/v1/endpoints/", false,
                      [&shared_context](auto const& exchange)
                      { announce_endpoint(shared_context, exchange); });
    routes.add_prefix("DELETE", "/v1/endpoints/", false,
                      [&shared_context](auto const& exchange)
                      { remove_endpoint(shared_context, exchange); });
    this->register_health(routes);
}

void directory_routes::register_health(route_table& routes)
{
    auto& shared_context = this->context;
    routes.add("GET", "/healthz",
               [](auto const& exchange) { exchange->respond(200, "text/plain", "ok\n"); });
    routes.add("GET", "/readyz",
               [&shared_context](auto const& exchange)
               {
                   auto const view = shared_context.control.view();
                   bool const is_serving = view && view->ready && !view->leaving;
                   exchange->respond(is_serving ? 200 : 503, "text/plain",
                                     is_serving ? "ready\n" : "not ready\n");
               });
    routes.add(
        "GET", "/metrics",
        [&shared_context](auto const& exchange)
        {
            shared_context.metrics.set("open_requests", {}, shared_context.open_requests->load());
            exchange->respond(200, "text/plain; version=0.0.4", shared_context.metrics.expose());
        });
}

} // namespace lagoonladder::completion
