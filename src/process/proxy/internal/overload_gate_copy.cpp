#include "overload_gate.hpp"

namespace lagoonladder::proxy
{

overload_gate::overload_gate(overload_gate const& original, event_sink& sink,
                             observability::metrics& counters)
    : events(sink)
    , metrics(counters)
    , is_on(original.is_on)
    , services(original.services)
{
}

request::service_load const* overload_gate::last_load(service_name const& service) const
{
    auto const found = this->services.find(service);
    bool const is_known = found != this->services.end() && found->second.last_load;
    return is_known ? &*found->second.last_load : nullptr;
}

} // namespace lagoonladder::proxy
