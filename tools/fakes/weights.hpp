#ifndef LAGOONLADDER_FAKES_WEIGHTS_HPP
#define LAGOONLADDER_FAKES_WEIGHTS_HPP

namespace lagoonladder::fakes
{

/// Subcommand "weights": a rate-limited weight store.
int run_weights(int argc, char** argv);

} // namespace lagoonladder::fakes

#endif
