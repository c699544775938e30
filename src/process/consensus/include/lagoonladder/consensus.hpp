#ifndef LAGOONLADDER_CONSENSUS_HPP
#define LAGOONLADDER_CONSENSUS_HPP

/// Public header of the consensus library: the replicated log as a
/// deterministic state machine without I/O, clocks or threads.

#include <lagoonladder/consensus/membership_policy.hpp>
#include <lagoonladder/consensus/message.hpp>
#include <lagoonladder/consensus/node.hpp>
#include <lagoonladder/consensus/ready.hpp>
#include <lagoonladder/consensus/types.hpp>

#endif
