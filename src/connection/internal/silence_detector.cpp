#include <lagoonladder/connection/silence_detector.hpp>

#include <algorithm>

namespace lagoonladder::connection
{

silence_detector::silence_detector(silence_options initial)
    : options(initial)
{
}

void silence_detector::start(time_point now, connection_id id, std::optional<duration> timeout)
{
    this->connections[id] = {true, timeout.value_or(this->options.progress_timeout), now};
}

bool silence_detector::progress(time_point now, connection_id id)
{
    auto const found = this->connections.find(id);
    if (found == this->connections.end() || !found->second.in_use)
        return false;
    found->second.last_activity = now;
    return true;
}

bool silence_detector::pool(time_point now, connection_id id)
{
    auto const found = this->connections.find(id);
    if (found == this->connections.end())
        return false;
    found->second = {false, this->options.idle_timeout, now};
    return true;
}

void silence_detector::close(connection_id id)
{
    this->connections.erase(id);
}

expired_connections silence_detector::expire(time_point now)
{
    expired_connections out;
    for (auto position = this->connections.begin(); position != this->connections.end();)
    {
        auto const& [id, connection] = *position;
        if (connection.last_activity + connection.timeout > now)
        {
            ++position;
            continue;
        }
        (connection.in_use ? out.silent : out.idle).push_back(id);
        position = this->connections.erase(position);
    }
    return out;
}

std::optional<time_point> silence_detector::next_expiry() const
{
    std::optional<time_point> next;
    for (auto const& [id, connection] : this->connections)
    {
        auto const due = connection.last_activity + connection.timeout;
        next = next ? std::min(*next, due) : due;
    }
    return next;
}

bool silence_detector::is_reusable(time_point now, connection_id id) const
{
    auto const found = this->connections.find(id);
    return found != this->connections.end() && !found->second.in_use &&
           found->second.last_activity + found->second.timeout > now;
}

} // namespace lagoonladder::connection
