#ifndef LAGOONLADDER_COMPLETION_HPP
#define LAGOONLADDER_COMPLETION_HPP

/// Public header of the completion library: the HTTP interface for completions and for calls of
/// plain services.

#include <lagoonladder/completion/api_exchange.hpp>
#include <lagoonladder/completion/route_module.hpp>
#include <lagoonladder/completion/route_table.hpp>
#include <lagoonladder/completion/traffic_server.hpp>

#endif
