#ifndef LAGOONLADDER_CONNECTION_HPP
#define LAGOONLADDER_CONNECTION_HPP

/// Public header of the connection library: directories of endpoints and entries, their gossip,
/// and detection of silent connections.

#include <lagoonladder/connection/caller_entries.hpp>
#include <lagoonladder/connection/endpoint_directory.hpp>
#include <lagoonladder/connection/endpoint_record.hpp>
#include <lagoonladder/connection/entry_directory.hpp>
#include <lagoonladder/connection/entry_record.hpp>
#include <lagoonladder/connection/leaving_acknowledger.hpp>
#include <lagoonladder/connection/leaving_mark_disseminator.hpp>
#include <lagoonladder/connection/limit_sharing.hpp>
#include <lagoonladder/connection/silence_detector.hpp>

#endif
