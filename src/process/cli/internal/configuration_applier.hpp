#ifndef LAGOONLADDER_CLI_CONFIGURATION_APPLIER_HPP
#define LAGOONLADDER_CLI_CONFIGURATION_APPLIER_HPP

#include <string>

#include "operator_client.hpp"

namespace lagoonladder::cli
{

/// A request to store a configuration.
struct apply_request
{
    generation base;
    std::string file;
    std::string text;
    operation_id operation;
};

struct stored_configuration
{
    lagoonladder::generation generation;
    /// Whether an earlier attempt with the same operation id had stored it.
    bool repeated = false;
};

/// Generates an operation id from the random numbers of the system.
operation_id make_operation_id();

/// Stores a configuration. Calls one entry after the other with the same operation id until
/// one reports a definite outcome, so that a repeated call stores the configuration only once.
class configuration_applier
{
public:
    /// Calls each entry at most `initial_rounds` times and waits `initial_pause` between the
    /// rounds.
    explicit configuration_applier(operator_client const& initial_client, int initial_rounds = 3,
                                   duration initial_pause = milliseconds(500));

    /// Throws cli_error: conflict, bad_input, failed (nothing was stored) or
    /// unknown (it may have been stored).
    stored_configuration apply(apply_request const& request) const;

private:
    operator_client const& client;
    int rounds;
    duration pause;
};

/// Waits until a generation is in force on all entries and its moves have ended.
class generation_waiter
{
public:
    generation_waiter(operator_client const& initial_client, duration initial_limit,
                      duration initial_interval = milliseconds(500));

    /// Returns the response of the moves call, reduced to the moves of the
    /// generation. Throws cli_error: conflict when a move was reversed, unknown
    /// when the time limit has passed.
    nlohmann::json wait(generation const& target) const;

private:
    bool is_in_force(generation const& target) const;

    operator_client const& client;
    duration limit;
    duration interval;
};

} // namespace lagoonladder::cli

#endif
