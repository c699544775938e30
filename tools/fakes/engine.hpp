#ifndef LAGOONLADDER_FAKES_ENGINE_HPP
#define LAGOONLADDER_FAKES_ENGINE_HPP

namespace lagoonladder::fakes
{

/// Subcommand "engine": a model engine.
int run_engine(int argc, char** argv);

} // namespace lagoonladder::fakes

#endif
