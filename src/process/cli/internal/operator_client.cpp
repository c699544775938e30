#include "operator_client.hpp"

#include <httplib.h>

#include "cli_error.hpp"

namespace lagoonladder::cli
{

std::string operator_reply::problem() const
{
    if (this->result == call_result::not_sent)
        return this->entry.value() + ": cannot be reached";
    if (this->result == call_result::response_lost)
        return this->entry.value() + ": the response was lost";
    std::string text = this->entry.value() + ": status " + std::to_string(this->status);
    for (auto const* name : {"detail", "title"})
        if (this->body.is_object() && this->body.contains(name) && this->body[name].is_string())
            return text + ": " + this->body[name].get<std::string>();
    return text;
}

operator_client::operator_client(operator_access initial_access)
    : access(std::move(initial_access))
{
}

operator_reply operator_client::call(network_address const& entry, std::string const& method,
                                     std::string const& path, nlohmann::json const& body) const
{
    httplib::Client client("http://" + entry.value());
    client.set_connection_timeout(2);
    client.set_read_timeout(this->access.timeout);
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.headers = {{"Authorization", "Bearer " + this->access.token}};
    if (!body.is_null())
    {
        request.headers.emplace("Content-Type", "application/json");
        request.body = body.dump();
    }
    auto const response = client.send(request);
    operator_reply reply;
    reply.entry = entry;
    if (!response)
    {
        bool const is_connected = response.error() != httplib::Error::Connection &&
                                  response.error() != httplib::Error::ConnectionTimeout;
        reply.result = is_connected ? call_result::response_lost : call_result::not_sent;
        return reply;
    }
    reply.result = call_result::responded;
    reply.status = response->status;
    reply.body = nlohmann::json::parse(response->body, nullptr, false);
    if (reply.body.is_discarded())
        reply.body = nullptr;
    return reply;
}

nlohmann::json operator_client::call_any_entry(std::string const& method, std::string const& path,
                                               nlohmann::json const& body) const
{
    std::string problems;
    for (auto const& entry : this->access.entries)
    {
        auto const reply = this->call(entry, method, path, body);
        bool const is_definite = reply.result == call_result::responded && reply.status < 500;
        if (is_definite && reply.status / 100 == 2)
            return reply.body;
        if (is_definite)
            throw cli_error(exit_code::failed, reply.problem());
        problems += (problems.empty() ? "" : "; ") + reply.problem();
    }
    throw cli_error(exit_code::unknown, problems);
}

} // namespace lagoonladder::cli
