#include <request_routes.hpp>

#include <charconv>

#include <at_most_once_status.hpp>
#include <lagoonladder/completion/route_table.hpp>
#include <local_token_source.hpp>
#include <remote_token_source.hpp>

namespace lagoonladder::completion
{

namespace
{

constexpr duration lookup_timeout = seconds(2);

std::uint64_t offset_parameter(api_exchange const& exchange)
{
    auto const text = exchange.parameter("offset");
    std::uint64_t offset = 0;
    auto const* end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, offset);
    if (exchange.has_parameter("offset") && (parsed.ec != std::errc() || parsed.ptr != end))
        throw refusal({400, "bad-parameter", "offset must be a whole number"});
    return offset;
}

/// Whether this entry runs the request or has its result, so that no other entry is queried.
bool is_owned_here(std::optional<request::holder_state> const& state)
{
    return state && *state != request::holder_state::holding &&
           *state != request::holder_state::handed_over;
}

/// Looks up the record of a non-idempotent call in one service after the other.
class at_most_once_lookup : public std::enable_shared_from_this<at_most_once_lookup>
{
public:
    at_most_once_lookup(traffic_context& shared_context,
                        std::shared_ptr<api_exchange> caller_exchange, request_id request,
                        std::vector<request::at_most_once_key> record_keys)
        : context(shared_context)
        , exchange(std::move(caller_exchange))
        , id(std::move(request))
        , keys(std::move(record_keys))
    {
    }

    void look_up_next()
    {
        if (this->keys.empty())
            return this->exchange->refuse({404, "unknown-request", "no such request is known",
                                           execution::unknown, this->id.value()});
        auto const key = this->keys.back();
        this->keys.pop_back();
        control_plane::find_handler const handler =
            [self = this->shared_from_this(), key](find_status status, auto const& record)
        { self->handle_result(key, status, record); };
        this->context.control.find_once(key, lookup_timeout, on_loop(this->context.loop, handler));
    }

private:
    void handle_result(request::at_most_once_key const& key, find_status status,
                       std::optional<request::at_most_once_reply> const& record)
    {
        if (status == find_status::unavailable)
            return this->exchange->refuse({503, "no-quorum", "no quorum answered in time",
                                           execution::unknown, this->id.value()});
        if (!record)
            return this->look_up_next();
        this->exchange->respond_json(200, format_at_most_once_status(key, *record));
    }

    traffic_context& context;
    std::shared_ptr<api_exchange> const exchange;
    request_id const id;
    std::vector<request::at_most_once_key> keys;
};

} // namespace

void request_routes::register_routes(route_table& routes)
{
    routes.add("GET", "/v1/requests",
               [this](auto const& exchange) { this->serve(exchange, request_id()); });
    routes.add_prefix("GET", "/v1/requests/", false,
                      [this](auto const& exchange)
                      { this->serve(exchange, request_id(exchange->argument())); });
}

void request_routes::serve(std::shared_ptr<api_exchange> const& exchange, request_id const& id)
{
    auto const view = ready_view(this->service.dependencies().context, execution::unknown);
    auto const account = authenticate(*view, *exchange).name;
    if (!id.value().empty())
        exchange->set_header("X-Request-Id", id.value());
    if (exchange->has_parameter("service") || id.value().empty())
        return this->serve_at_most_once_state(exchange, id, account);
    this->serve_completion(exchange, id, account);
}

void request_routes::serve_completion(std::shared_ptr<api_exchange> const& exchange,
                                      request_id const& id, account_id const& account)
{
    auto const& dependencies = this->service.dependencies();
    token_offset const offset(offset_parameter(*exchange));
    std::shared_ptr<token_source> source;
    if (is_owned_here(dependencies.store.state_of(id)))
        source = std::make_shared<local_token_source>(dependencies.context.loop, dependencies.store,
                                                      id, account);
    else
        source = std::make_shared<remote_token_source>(dependencies.context, dependencies.store,
                                                       this->peers, id, account);
    source->read(offset,
                 [this, exchange, id, account, source, offset](request::fetch_result const& first)
                 {
                     if (first.status == request::fetch_status::not_found)
                         return exchange->guard(
                             [&] { this->serve_at_most_once_state(exchange, id, account); });
                     this->send_completion(exchange, id, source, first, offset);
                 });
}

void request_routes::send_completion(std::shared_ptr<api_exchange> const& exchange,
                                     request_id const& id,
                                     std::shared_ptr<token_source> const& source,
                                     request::fetch_result const& first, token_offset offset)
{
    if (first.status == request::fetch_status::forbidden)
        return exchange->refuse({403, "forbidden", "the request belongs to another account",
                                 execution::unknown, id.value()});
    if (first.outcome && !first.outcome->failure.empty() && first.tokens.empty())
        return send_failure(*exchange, *first.outcome);
    answer_properties const properties{id, service_name(), true};
    stream_answer(exchange, source, properties, first, offset,
                  std::make_shared<open_request>(this->service.dependencies().context));
}

void request_routes::serve_at_most_once_state(std::shared_ptr<api_exchange> const& exchange,
                                              request_id const& id, account_id const& account)
{
    auto& context = this->service.dependencies().context;
    auto const view = ready_view(context, execution::unknown);
    // A call without an idempotency key is recorded under its request id.
    auto const key = exchange->has_parameter("key") ? exchange->parameter("key") : id.value();
    if (key.empty())
        throw refusal({400, "bad-parameter", "parameter \"key\" is required", execution::unknown});
    std::vector<request::at_most_once_key> record_keys;
    if (exchange->has_parameter("service"))
        record_keys.push_back(
            {account, service_name(exchange->parameter("service")), idempotency_key(key)});
    else
    {
        for (auto const& [name, config] : view->shared->configuration.services)
        {
            if (config.kind == version::service_kind::plain)
                record_keys.push_back({account, name, idempotency_key(key)});
        }
    }
    std::make_shared<at_most_once_lookup>(context, exchange, id, std::move(record_keys))
        ->look_up_next();
}

} // namespace lagoonladder::completion
