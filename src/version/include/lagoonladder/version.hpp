#ifndef LAGOONLADDER_VERSION_HPP
#define LAGOONLADDER_VERSION_HPP

/// Public header of the version library: configuration, version moves and the
/// replicated control state.

#include <lagoonladder/version/capacity_plan.hpp>
#include <lagoonladder/version/configuration.hpp>
#include <lagoonladder/version/content.hpp>
#include <lagoonladder/version/control_state.hpp>
#include <lagoonladder/version/evacuation.hpp>
#include <lagoonladder/version/move_controller.hpp>
#include <lagoonladder/version/order_book.hpp>
#include <lagoonladder/version/renewal.hpp>
#include <lagoonladder/version/service_map.hpp>
#include <lagoonladder/version/shared_state.hpp>
#include <lagoonladder/version/traffic_sample.hpp>
#include <lagoonladder/version/usage_commands.hpp>
#include <lagoonladder/version/usage_ledger.hpp>

#endif
