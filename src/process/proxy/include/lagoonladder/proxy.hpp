#ifndef LAGOONLADDER_PROXY_HPP
#define LAGOONLADDER_PROXY_HPP

/// Public header of the proxy library: calls that are passed through to endpoints
/// without a change, on one event loop.

#include <lagoonladder/proxy/call.hpp>
#include <lagoonladder/proxy/call_proxy.hpp>
#include <lagoonladder/proxy/operations.hpp>
#include <lagoonladder/proxy/traffic_control.hpp>

#endif
