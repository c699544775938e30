#include "configuration_applier.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>
#include <thread>

#include "cli_error.hpp"

namespace lagoonladder::cli
{

namespace
{

/// Returns a text field of a response, or "?" when it is missing.
std::string string_field(nlohmann::json const& body, char const* name)
{
    bool const has_text = body.is_object() && body.contains(name) && body[name].is_string();
    return has_text ? body[name].get<std::string>() : "?";
}

generation require_generation(nlohmann::json const& body)
{
    if (!body.is_object() || !body.contains("generation") ||
        !body["generation"].is_number_unsigned())
        throw cli_error(exit_code::unknown, "the response contains no generation");
    return body["generation"].get<generation>();
}

/// Throws cli_error for a response that rules out that the configuration was stored.
void throw_if_refused(operator_reply const& reply)
{
    if (reply.status == 409)
        throw cli_error(exit_code::conflict,
                        "conflict: the current generation is " +
                            std::to_string(require_generation(reply.body).value()) +
                            ", stored by operation " +
                            string_field(reply.body, "winner_operation") + " with digest " +
                            string_field(reply.body, "winner_digest"));
    if (reply.status == 400)
        throw cli_error(exit_code::bad_input, string_field(reply.body, "detail"));
    if (reply.status / 100 == 4)
        throw cli_error(exit_code::failed, reply.problem());
}

} // namespace

operation_id make_operation_id()
{
    std::random_device device;
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "op-%08x%08x%08x%08x", device(), device(), device(),
                  device());
    return operation_id(text.data());
}

configuration_applier::configuration_applier(operator_client const& initial_client,
                                             int initial_rounds, duration initial_pause)
    : client(initial_client)
    , rounds(initial_rounds)
    , pause(initial_pause)
{
}

stored_configuration configuration_applier::apply(apply_request const& request) const
{
    nlohmann::json const body{{"base", request.base},
                              {"file", request.file},
                              {"text", request.text},
                              {"operation", request.operation}};
    bool may_be_stored = false;
    bool was_reached = false;
    std::string last_problem;
    for (int round = 0; round < this->rounds; ++round)
    {
        if (round > 0)
            std::this_thread::sleep_for(this->pause);
        for (auto const& entry : this->client.entries())
        {
            auto const reply = this->client.call(entry, "PUT", "/v1/operator/configuration", body);
            if (reply.result == call_result::responded)
                throw_if_refused(reply);
            if (reply.result == call_result::responded && reply.status == 200)
                return {require_generation(reply.body),
                        string_field(reply.body, "outcome") == "repeated"};
            // Among the other responses, only 503 guarantees that nothing was proposed.
            may_be_stored = may_be_stored || reply.result == call_result::response_lost ||
                            (reply.result == call_result::responded && reply.status != 503);
            was_reached = was_reached || reply.result != call_result::not_sent;
            last_problem = reply.problem();
        }
    }
    if (may_be_stored)
        throw cli_error(exit_code::unknown,
                        last_problem + "; the outcome is unknown: repeat with --operation " +
                            request.operation.value());
    throw cli_error(was_reached ? exit_code::failed : exit_code::unknown,
                    last_problem + "; nothing was stored");
}

generation_waiter::generation_waiter(operator_client const& initial_client, duration initial_limit,
                                     duration initial_interval)
    : client(initial_client)
    , limit(initial_limit)
    , interval(initial_interval)
{
}

bool generation_waiter::is_in_force(generation const& target) const
{
    auto const status = this->client.call_any_entry("GET", "/v1/operator/status");
    auto const has_generation = [&](nlohmann::json const& row)
    { return row.value("generation", std::uint64_t(0)) >= target.value(); };
    auto const& entries = status.at("entries");
    return has_generation(status) && std::all_of(entries.begin(), entries.end(), has_generation);
}

nlohmann::json generation_waiter::wait(generation const& target) const
{
    system_clock const time;
    auto const deadline = time.now() + this->limit;
    while (time.now() < deadline)
    {
        if (!this->is_in_force(target))
        {
            std::this_thread::sleep_for(this->interval);
            continue;
        }
        auto moves = nlohmann::json::array();
        bool has_running_move = false;
        auto const response_body = this->client.call_any_entry("GET", "/v1/operator/moves");
        for (auto const& move : response_body.at("moves"))
        {
            if (move.value("generation", std::uint64_t(0)) != target.value())
                continue;
            moves.push_back(move);
            if (move.at("state") == "reversed")
                throw cli_error(exit_code::conflict,
                                "the move of " + string_field(move, "service") + " to " +
                                    string_field(move, "to") +
                                    " was reversed: " + string_field(move, "reason"));
            has_running_move = has_running_move || move.at("state") == "running";
        }
        if (!has_running_move)
            return {{"moves", moves}};
        std::this_thread::sleep_for(this->interval);
    }
    throw cli_error(exit_code::unknown, "generation " + std::to_string(target.value()) +
                                            " is stored, but the wait has timed out");
}

} // namespace lagoonladder::cli
