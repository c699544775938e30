#ifndef LAGOONLADDER_CONNECTION_HPP
#define LAGOONLADDER_CONNECTION_HPP

/// Public header of the connection library: endpoints, entries and the
/// connections to them.

#include <lagoonladder/connection/caller_entries.hpp>
#include <lagoonladder/connection/endpoint_directory.hpp>
#include <lagoonladder/connection/endpoint_record.hpp>
#include <lagoonladder/connection/entry_directory.hpp>
#include <lagoonladder/connection/entry_record.hpp>
#include <lagoonladder/connection/leaving_mark_disseminator.hpp>
#include <lagoonladder/connection/silence_detector.hpp>

#endif
