#ifndef LAGOONLADDER_CLI_HPP
#define LAGOONLADDER_CLI_HPP

/// Public header of the cli library.

#endif
