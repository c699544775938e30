#ifndef LAGOONLADDER_BASE_HPP
#define LAGOONLADDER_BASE_HPP

/// Public header of the base library: strong types, errors, events, clocks,
/// random numbers, invariants and the INI document reader.

#include <lagoonladder/base/clock.hpp>
#include <lagoonladder/base/error.hpp>
#include <lagoonladder/base/event.hpp>
#include <lagoonladder/base/ini_document.hpp>
#include <lagoonladder/base/ini_section_reader.hpp>
#include <lagoonladder/base/invariant.hpp>
#include <lagoonladder/base/random.hpp>
#include <lagoonladder/base/secret.hpp>
#include <lagoonladder/base/strong_type.hpp>
#include <lagoonladder/base/units.hpp>

#endif
