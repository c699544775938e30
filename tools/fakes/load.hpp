#ifndef LAGOONLADDER_FAKES_LOAD_HPP
#define LAGOONLADDER_FAKES_LOAD_HPP

namespace lagoonladder::fakes
{

/// Subcommand "load": sends completions and checks every answer.
int run_load(int argc, char** argv);

} // namespace lagoonladder::fakes

#endif
