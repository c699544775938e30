#ifndef LAGOONLADDER_FAKES_CLOUD_HPP
#define LAGOONLADDER_FAKES_CLOUD_HPP

namespace lagoonladder::fakes
{

/// Subcommand "cloud": the cloud API.
int run_cloud(int argc, char** argv);

} // namespace lagoonladder::fakes

#endif
