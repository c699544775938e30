#ifndef LAGOONLADDER_CLI_CONFIGURATION_APPLIER_HPP
#define LAGOONLADDER_CLI_CONFIGURATION_APPLIER_HPP

#include <string>

#include "operator_client.hpp"

namespace lagoonladder::cli
{

/// One intent of an operator to store a configuration.
struct apply_intent
{
    generation base;
    std::string file;
    std::string text;
    operation_id operation;
};

struct stored_configuration
{
    lagoonladder::generation generation;
    /// The operation had been stored before.
    bool repeated = false;
};

/// A new operation id from the system's random numbers.
operation_id make_operation_id();

/// Stores a configuration. It sends the same operation id to one entry after
/// the other until one knows the outcome.
class configuration_applier
{
public:
    explicit configuration_applier(operator_client const& initial, int initial_rounds = 3,
                                   duration initial_pause = milliseconds(500));

    /// Throws cli_error: conflict, bad_input, failed (nothing was stored) or
    /// unknown (it may have been stored).
    stored_configuration apply(apply_intent const& intent) const;

private:
    operator_client const& client;
    int rounds;
    duration pause;
};

/// Waits until a generation is in force on all entries and its moves have ended.
class generation_waiter
{
public:
    generation_waiter(operator_client const& initial, duration initial_limit,
                      duration initial_interval = milliseconds(500));

    /// Returns the answer of the moves call, reduced to the moves of the
    /// generation. Throws cli_error: conflict when a move was reversed, unknown
    /// when the limit has passed.
    nlohmann::json wait(generation const& wanted) const;

private:
    bool is_in_force(generation const& wanted) const;

    operator_client const& client;
    duration limit;
    duration interval;
};

} // namespace lagoonladder::cli

#endif
