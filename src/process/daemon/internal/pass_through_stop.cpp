#include "pass_through_plane.hpp"

namespace lagoonladder::daemon
{

void pass_through_plane::drain()
{
    asio::post(*this->context, [this] { this->caller_server.close_after_answers(); });
}

void pass_through_plane::refuse_calls()
{
    asio::post(*this->context, [this] { this->caller_server.drain(); });
}

void pass_through_plane::end_calls()
{
    asio::post(*this->context,
               [this]
               {
                   this->caller_server.refuse_incomplete();
                   this->proxy.end_calls();
               });
}

void pass_through_plane::close_control()
{
    asio::post(*this->context,
               [this]
               {
                   for (auto* server : this->control_servers())
                       server->drain();
               });
}

bool pass_through_plane::is_closed() const
{
    return this->caller_server.is_drained() && this->control_server.is_drained() &&
           this->directory_server.is_drained() && this->readiness_server.is_drained() &&
           this->metrics_server.is_drained();
}

std::array<http::server*, 4> pass_through_plane::control_servers()
{
    return {&this->control_server, &this->directory_server, &this->readiness_server,
            &this->metrics_server};
}

void pass_through_plane::stop()
{
    if (!this->thread.joinable())
        return;
    this->control.set_platform_duties(nullptr);
    asio::post(*this->context,
               [this]
               {
                   this->periodic_timer.cancel();
                   this->caller_server.stop();
                   for (auto* server : this->control_servers())
                       server->stop();
                   this->notices.stop();
                   this->client.stop();
                   this->duty_http_client.stop();
                   this->context->stop();
               });
    this->thread.join();
}

} // namespace lagoonladder::daemon
