#include "fault_switch.hpp"

#include <array>
#include <cstdlib>
#include <thread>

#include "log_line.hpp"

namespace lagoonladder::fakes
{

namespace
{

// The connection pool handles each connection on one thread for its whole lifetime.
thread_local std::uint64_t connection_epoch = 0;

} // namespace

fault_switch::fault_switch(std::uint64_t seed)
    : random(seed)
{
}

void fault_switch::install(httplib::Server& server)
{
    server.Post("/v1/fault",
                [this](httplib::Request const& request, httplib::Response& response)
                {
                    auto const body = nlohmann::json::parse(request.body, nullptr, false);
                    if (!body.is_object() || !body.contains("kind"))
                    {
                        response.status = 400;
                        return;
                    }
                    this->set(body.at("kind").get<std::string>(), body.value("value", 0.0),
                              body.value("route", std::string()));
                    response.set_content("{}", "application/json");
                });
}

void fault_switch::set(std::string const& new_kind, double new_value, std::string const& new_route)
{
    log_line("fault.set", {{"kind", new_kind}, {"value", std::to_string(new_value)}});
    if (new_kind == "crash")
        std::_Exit(3);
    if (new_kind == "silent")
    {
        ++this->silent_epoch;
        // The connection of this request stays active, so that the request gets its response.
        connection_epoch = this->silent_epoch;
    }
    std::lock_guard<std::mutex> const lock(this->mutex);
    this->kind = new_kind;
    this->value = new_value;
    this->route = new_route;
}

double fault_switch::value_of(std::string const& requested_kind, std::string const& path) const
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    bool const applies = this->kind == requested_kind && path.rfind(this->route, 0) == 0;
    return applies ? this->value : 0;
}

bool fault_switch::draw_failure(std::string const& path)
{
    double const rate = this->value_of("fail_rate", path);
    std::lock_guard<std::mutex> const lock(this->mutex);
    return rate > 0 && this->random.unit() < rate;
}

bool fault_switch::draw_break(std::string const& path)
{
    double const rate = this->value_of("break_rate", path);
    std::lock_guard<std::mutex> const lock(this->mutex);
    return rate > 0 && this->random.unit() < rate;
}

double fault_switch::slow_factor(std::string const& path) const
{
    double const factor = this->value_of("slow_factor", path);
    return factor > 0 ? factor : 1;
}

duration fault_switch::answer_delay(std::string const& path) const
{
    return from_seconds(this->value_of("delay_ms", path) / 1000);
}

bool fault_switch::closes_after_execution(std::string const& path) const
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    return this->kind == "die_after_execution" && path.rfind(this->route, 0) == 0;
}

bool fault_switch::is_active(std::string const& requested_kind) const
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    return this->kind == requested_kind;
}

void fault_switch::connection_opened()
{
    connection_epoch = this->silent_epoch;
}

bool fault_switch::is_silent() const
{
    return connection_epoch != this->silent_epoch;
}

void fault_switch::wait_while_silent(std::function<bool()> const& peer_is_connected) const
{
    while (this->is_silent() && peer_is_connected())
        std::this_thread::sleep_for(milliseconds(100));
}

} // namespace lagoonladder::fakes
