#include "evacuation_orders.hpp"

namespace lagoonladder::daemon
{

namespace
{

constexpr duration order_timeout = seconds(4);

completion::refusal bad_order(std::string detail)
{
    return completion::refusal(
        {400, "bad-request", std::move(detail), completion::execution::no, {}, seconds(1), {}});
}

version::set_evacuation parse_order(std::string const& body)
{
    try
    {
        auto const in = nlohmann::json::parse(body);
        version::set_evacuation order;
        in.at("data_centre").get_to(order.data_centre);
        in.at("is_evacuated").get_to(order.is_evacuated);
        return order;
    }
    catch (nlohmann::json::exception const& malformed)
    {
        throw bad_order(malformed.what());
    }
}

void refuse_for_now(completion::api_exchange& exchange, char const* detail)
{
    exchange.set_header("Retry-After", "1");
    exchange.respond_json(503, nlohmann::json{{"detail", detail}}.dump());
}

void report_outcome(completion::api_exchange& exchange, version::set_evacuation const& order,
                    control::proposal_outcome const& outcome)
{
    auto const* result = std::get_if<version::evacuation_result>(&outcome.result);
    if (outcome.status != control::proposal_status::committed || result == nullptr)
        return refuse_for_now(exchange, "no quorum confirmed the order in time; send it again");
    if (result->is_outdated)
        return refuse_for_now(exchange, "another order came first; send this one again");
    nlohmann::json const body{{"data_centre", order.data_centre},
                              {"is_evacuated", order.is_evacuated},
                              {"is_changed", result->is_changed}};
    exchange.respond_json(200, body.dump());
}

} // namespace

void order_evacuation(config::settings const& options, control::control_plane& plane,
                      std::shared_ptr<completion::api_exchange> const& exchange)
{
    auto const order = parse_order(exchange->body());
    if (!control::is_known_data_centre(options, *plane.view(), order.data_centre))
        throw bad_order("unknown data centre \"" + order.data_centre.value() + "\"");
    control::control_plane::proposal_handler const done =
        [exchange, order](control::proposal_outcome const& outcome)
    { report_outcome(*exchange, order, outcome); };
    plane.propose(order, order_timeout, completion::on_loop(exchange->loop(), done));
}

nlohmann::json describe_evacuations(control::control_view const& view)
{
    return view.shared ? version::evacuations_json(view.shared->evacuations)
                       : nlohmann::json::array();
}

} // namespace lagoonladder::daemon
