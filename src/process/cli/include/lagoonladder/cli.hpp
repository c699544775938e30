#ifndef LAGOONLADDER_CLI_HPP
#define LAGOONLADDER_CLI_HPP

/// Public header of the cli library.

namespace lagoonladder
{

/// Runs `lagoonladder COMMAND ...` and returns the exit code: 0 done, 1 failed,
/// 2 bad usage or bad input file, 3 conflict or reversed move, 4 outcome unknown or
/// no entry reachable. Writes to standard output and standard error; does not throw.
int run_command_line(int argc, char** argv);

} // namespace lagoonladder

#endif
