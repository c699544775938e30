#ifndef LAGOONLADDER_CONSENSUS_HPP
#define LAGOONLADDER_CONSENSUS_HPP

/// Public header of the consensus library.

#endif
