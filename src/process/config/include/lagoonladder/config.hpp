#ifndef LAGOONLADDER_CONFIG_HPP
#define LAGOONLADDER_CONFIG_HPP

/// Public header of the config library: the settings of one daemon.

#include <lagoonladder/config/settings.hpp>
#include <lagoonladder/config/settings_watcher.hpp>

#endif
