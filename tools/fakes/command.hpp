#ifndef LAGOONLADDER_FAKES_COMMAND_HPP
#define LAGOONLADDER_FAKES_COMMAND_HPP

#include <tclap/CmdLine.h>

#include "announcer.hpp"
#include "http_service.hpp"

namespace lagoonladder::fakes
{

/// Parses the arguments. Returns false after printing the usage for --help. Prints a message
/// and exits with code 2 when the arguments are invalid.
bool parse_or_print_help(TCLAP::CmdLine& command, int argc, char** argv);

/// Announces that an endpoint leaves, waits for the grace time and until no request is open,
/// then removes the endpoint from the entries.
void drain_endpoint(http_service& service, announcer& announcements, duration grace);

} // namespace lagoonladder::fakes

#endif
