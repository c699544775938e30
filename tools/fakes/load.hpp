#ifndef LAGOONLADDER_FAKES_LOAD_HPP
#define LAGOONLADDER_FAKES_LOAD_HPP

namespace lagoonladder::fakes
{

/// Subcommand "load": sends completion requests and checks every response.
int run_load(int argc, char** argv);

} // namespace lagoonladder::fakes

#endif
