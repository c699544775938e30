#ifndef LAGOONLADDER_FAKES_RELAY_HPP
#define LAGOONLADDER_FAKES_RELAY_HPP

namespace lagoonladder::fakes
{

/// Subcommand "relay": a TCP relay that makes its open connections silent on SIGUSR1.
int run_relay(int argc, char** argv);

} // namespace lagoonladder::fakes

#endif
