#include <traffic_directory_routes.hpp>

#include <traffic_http.hpp>
#include <traffic_secret.hpp>

namespace lagoonladder::daemon
{

namespace
{

void require_endpoint_token(traffic_context& context, httplib::Request const& request)
{
    if (!secret_equals(bearer_token(request), context.config.endpoint_token))
        throw refusal({401, "unauthorized", "the endpoint token is missing or wrong"});
}

void list_entries(traffic_context& context, traffic_entries& known, httplib::Request const& request,
                  httplib::Response& response)
{
    auto const view = ready_view(context, execution::no);
    auto const caller =
        request.has_param("caller") ? request.get_param_value("caller") : request.remote_addr;
    auto entries = nlohmann::json::array();
    for (auto const& entry : known.list_for(*view, caller))
        entries.push_back(
            {{"vm", entry.vm}, {"address", entry.http}, {"data_centre", entry.data_centre}});
    auto const max_age =
        std::chrono::duration_cast<seconds>(context.config.entry_list_max_age).count();
    response.set_header("Cache-Control", "max-age=" + std::to_string(max_age));
    nlohmann::json const body{{"entries", std::move(entries)}, {"max_age_s", max_age}};
    response.set_content(body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
                         "application/json");
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

void announce_endpoint(traffic_context& context, httplib::Request const& request,
                       httplib::Response& response)
{
    require_endpoint_token(context, request);
    auto const view = ready_view(context, execution::no);
    auto const body = parse_json_body(request);
    connection::endpoint_record record;
    try
    {
        body.get_to(record);
    }
    catch (std::exception const& bad)
    {
        throw refusal({400, "bad-field", bad.what()});
    }
    if (record.id.value() != request.matches[1])
        throw refusal({400, "bad-field", "field \"id\" differs from the id in the path"});
    check_service(*view, record);
    context.control.announce(std::move(record));
    nlohmann::json const accepted{{"lease_us", context.config.endpoint_lease}};
    response.set_content(accepted.dump(), "application/json");
}

void remove_endpoint(traffic_context& context, httplib::Request const& request,
                     httplib::Response& response)
{
    require_endpoint_token(context, request);
    context.control.remove_endpoint(endpoint_id(request.matches[1]));
    response.status = 204;
}

} // namespace

void directory_routes::register_routes(httplib::Server& server)
{
    auto& shared = this->context;
    auto const bind = [&shared](auto handler)
    {
        return guarded(
            shared, [&shared, handler](httplib::Request const& request, httplib::Response& response)
            { handler(shared, request, response); });
    };
    auto& known = this->entries;
    server.Get("/v1/entries",
               bind([&known](traffic_context& plane, auto const& request, auto& response)
                    { list_entries(plane, known, request, response); }));
    server.Put("/v1/endpoints/([^/]+)", bind(announce_endpoint));
    server.Delete("/v1/endpoints/([^/]+)", bind(remove_endpoint));
    this->register_health(server);
}

void directory_routes::register_health(httplib::Server& server)
{
    auto& shared = this->context;
    server.Get("/healthz", [](httplib::Request const&, httplib::Response& response)
               { response.set_content("ok\n", "text/plain"); });
    server.Get("/readyz",
               [&shared](httplib::Request const&, httplib::Response& response)
               {
                   auto const view = shared.control.view();
                   bool const serving = view && view->ready && !view->leaving;
                   response.status = serving ? 200 : 503;
                   response.set_content(serving ? "ready\n" : "not ready\n", "text/plain");
               });
    server.Get("/metrics",
               [&shared](httplib::Request const&, httplib::Response& response)
               {
                   shared.metrics.set("open_requests", {}, shared.open_requests.load());
                   response.set_content(shared.metrics.expose(), "text/plain; version=0.0.4");
               });
}

} // namespace lagoonladder::daemon
