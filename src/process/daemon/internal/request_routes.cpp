#include <request_routes.hpp>

#include <charconv>

#include <completion_routes.hpp>
#include <once_status.hpp>
#include <remote_token_source.hpp>
#include <traffic_http.hpp>

namespace lagoonladder::daemon
{

namespace
{

constexpr duration lookup_timeout = seconds(2);

std::uint64_t offset_parameter(httplib::Request const& request)
{
    auto const text = request.get_param_value("offset");
    std::uint64_t offset = 0;
    auto const* end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, offset);
    if (request.has_param("offset") && (parsed.ec != std::errc() || parsed.ptr != end))
        throw refusal({400, "bad-parameter", "offset must be a whole number"});
    return offset;
}

/// Whether the request's entry works on it or has its result.
bool is_held_here(std::optional<request::holder_state> const& state)
{
    return state && *state != request::holder_state::holding &&
           *state != request::holder_state::handed_over;
}

} // namespace

void request_routes::register_routes(httplib::Server& server)
{
    auto& context = this->service.parts().context;
    server.Get("/v1/requests",
               guarded(context, [this](httplib::Request const& request, httplib::Response& response)
                       { this->serve(request, response, request_id()); }));
    server.Get("/v1/requests/([^/]+)",
               guarded(context, [this](httplib::Request const& request, httplib::Response& response)
                       { this->serve(request, response, request_id(request.matches[1])); }));
}

void request_routes::serve(httplib::Request const& request, httplib::Response& response,
                           request_id const& id)
{
    auto& context = this->service.parts().context;
    auto const view = ready_view(context, execution::unknown);
    auto const account = authenticate(*view, request).name;
    if (!id.value().empty())
        response.set_header("X-Request-Id", id.value());
    if (request.has_param("service") || id.value().empty())
        return this->serve_once_state(request, response, id, *view, account);
    if (!this->serve_completion(request, response, id, *view, account))
        this->serve_once_state(request, response, id, *view, account);
}

bool request_routes::serve_completion(httplib::Request const& request, httplib::Response& response,
                                      request_id const& id, control_view const&,
                                      account_id const& account)
{
    auto const& parts = this->service.parts();
    token_offset const offset(offset_parameter(request));
    std::shared_ptr<token_source> source;
    if (is_held_here(parts.store.state_of(id)))
        source = std::make_shared<local_token_source>(parts.store, id, account);
    else
        source = std::make_shared<remote_token_source>(parts.context, parts.store, this->peers, id,
                                                       account);
    auto first = source->read(offset);
    if (first.status == request::fetch_status::forbidden)
        throw refusal({403, "forbidden", "the request belongs to another account",
                       execution::unknown, id.value()});
    if (first.status != request::fetch_status::found)
        return false;
    if (first.outcome && !first.outcome->failure.empty() && first.tokens.empty())
    {
        send_failure(response, *first.outcome);
        return true;
    }
    answer_header const header{id, service_name(), true};
    stream_answer(response, std::move(source), header, std::move(first), offset,
                  std::make_shared<open_request>(parts.context));
    return true;
}

void request_routes::serve_once_state(httplib::Request const& request, httplib::Response& response,
                                      request_id const& id, control_view const& view,
                                      account_id const& account)
{
    auto& context = this->service.parts().context;
    std::vector<service_name> services;
    if (request.has_param("service"))
        services.emplace_back(request.get_param_value("service"));
    else
        for (auto const& [name, config] : view.shared->configuration.services)
            if (config.kind == version::service_kind::plain)
                services.push_back(name);
    // A call without a key is recorded under its request id.
    auto const key = request.has_param("key") ? request.get_param_value("key") : id.value();
    if (key.empty())
        throw refusal({400, "bad-parameter", "service and key are required", execution::unknown});
    try
    {
        for (auto const& name : services)
        {
            request::once_key const record{account, name, idempotency_key(key)};
            auto const found = context.control.find_once(record, lookup_timeout);
            if (!found)
                continue;
            response.set_content(format_once_status(record, *found), "application/json");
            return;
        }
    }
    catch (outcome_unknown_error const& failed)
    {
        throw refusal({503, "no-quorum", failed.what(), execution::unknown, id.value()});
    }
    throw refusal(
        {404, "unknown-request", "no such request is known", execution::unknown, id.value()});
}

} // namespace lagoonladder::daemon
