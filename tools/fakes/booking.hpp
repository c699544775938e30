#ifndef LAGOONLADDER_FAKES_BOOKING_HPP
#define LAGOONLADDER_FAKES_BOOKING_HPP

namespace lagoonladder::fakes
{

/// Subcommand "booking": a plain service whose calls are not idempotent.
int run_booking(int argc, char** argv);

} // namespace lagoonladder::fakes

#endif
