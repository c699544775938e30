#ifndef LAGOONLADDER_PROXY_HPP
#define LAGOONLADDER_PROXY_HPP

/// Public header of the proxy library, which passes calls through to endpoints unchanged,
/// on one event loop.

#include <lagoonladder/proxy/call.hpp>
#include <lagoonladder/proxy/call_proxy.hpp>
#include <lagoonladder/proxy/operations.hpp>
#include <lagoonladder/proxy/placement_query.hpp>
#include <lagoonladder/proxy/traffic_control.hpp>

#endif
