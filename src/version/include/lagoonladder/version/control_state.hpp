#ifndef LAGOONLADDER_VERSION_CONTROL_STATE_HPP
#define LAGOONLADDER_VERSION_CONTROL_STATE_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

#include <lagoonladder/request.hpp>
#include <lagoonladder/version/configuration.hpp>
#include <lagoonladder/version/content_assembly.hpp>
#include <lagoonladder/version/shared_state.hpp>
#include <lagoonladder/version/usage_ledger.hpp>

namespace lagoonladder::version
{

/// Command: stores a configuration file if `base` is still the current generation.
struct apply_configuration
{
    lagoonladder::generation base;
    /// Name of the file, for error messages.
    std::string file;
    std::string text;
    /// Chosen by the operator's client for each change; a resent command has the same id.
    operation_id operation;
};

/// Command: sets the share and the state of the running move of a service.
struct update_move
{
    service_name service;
    /// Generation that started the move. The update is ignored if the running move was
    /// started by another one.
    lagoonladder::generation generation;
    double share = 0;
    move_state state = move_state::running;
    std::string reason;
    std::map<std::string, std::string> figures;
    /// Whether the new version was shown to be worse than the old one.
    bool is_shown_worse = false;
};

/// Command: reserves the next order sequence numbers for the leader of `term`.
struct reserve_orders
{
    std::uint64_t term = 0;
    std::uint32_t count = 0;
};

/// Command: marks the outcome of attempts past their deadline as unknown and removes old
/// records of at-most-once requests.
struct expire_records
{
};

/// Command: stores a part of a content that a later command refers to. Parts survive the
/// leader and the daemon that sent them.
struct store_content_part
{
    content_part part;
};

/// Command: puts a pass-through configuration in force if its number is the highest so far.
struct apply_service_map
{
    std::uint64_t number = 0;
    /// Packed service_configuration, without bytes if its parts were stored before.
    packed_content content;
};

/// Command: reads the number and digest of the pass-through configuration and the moves. It
/// goes through the log so that the result reflects everything acknowledged before.
struct read_pass_through_state
{
};

/// Command: starts a move of a pass-through service to another version.
struct start_service_move
{
    service_name service;
    version_name to;
    /// Time within which the move has to be finished.
    duration time_limit{};
    /// Number of the latest order for the service that the sender of the command knew when it
    /// received this one. The order has no effect when a newer one was committed first. Commands
    /// of earlier releases have none.
    std::optional<std::uint64_t> base{};
    /// Time after an order in which the same order is one that was sent again. Commands of earlier
    /// releases have none.
    std::optional<duration> resend_time{};
    /// Time for which the sender of the command has known `base`, by its own clock.
    duration base_age{};
    /// Version that the service ran when the order was given, as the sender of the command saw its
    /// endpoints; empty if it did not know.
    version_name in_service{};
};

/// Command: adds usage counts of entries, so that they survive the entries and the leader.
struct add_usage
{
    std::vector<usage_report> reports;
};

/// Command: closes a usage window with the counts added so far. Later counts of it are
/// ignored.
struct close_usage_window
{
    std::uint64_t window = 0;
};

/// Command: records that the platform has accepted the usage of a window.
struct confirm_usage_window
{
    std::uint64_t window = 0;
};

/// Command: starts or ends the evacuation of a data centre, whose endpoints receive no requests
/// meanwhile. The data centre stays as it is if it is in that state already, so it may be resent.
struct set_evacuation
{
    data_centre_id data_centre;
    bool is_evacuated = false;
    /// Number of the data centre's record that the order is based on. Commands of earlier releases
    /// have none.
    std::optional<std::uint64_t> base{};
};

/// Returns the command that puts a configuration in force. Throws parse_error if the
/// configuration is too large.
apply_service_map make_apply_command(service_configuration const& value);

using command_body =
    std::variant<apply_configuration, update_move, reserve_orders, expire_records,
                 request::at_most_once_begin, request::at_most_once_refuse,
                 request::at_most_once_finish, apply_service_map, read_pass_through_state,
                 start_service_move, close_usage_window, confirm_usage_window, add_usage,
                 store_content_part, set_evacuation>;

/// A command as stored in the log. `now` is set by the leader and never decreases.
struct command
{
    wall_time now{};
    command_body body;
};

/// Encodes as MessagePack. decode_command throws parse_error on damaged bytes.
std::string encode(command const& value);
command decode_command(std::string const& bytes);

enum class apply_outcome
{
    stored,
    /// The same operation was stored before, as `generation`.
    repeated,
    /// Another configuration was stored on the same base first; `winner_*` identify it.
    conflict,
    invalid
};

struct apply_result
{
    apply_outcome outcome = apply_outcome::invalid;
    /// Generation of this operation for `stored` and `repeated`, otherwise the current one.
    lagoonladder::generation generation;
    /// For `conflict`, the operation that was stored on the same base. `winner_digest` is the
    /// sha256_hex of its text.
    operation_id winner_operation;
    std::string winner_digest;
    /// The error for `invalid`, the earlier operation for `conflict`.
    std::string detail;
};

struct update_move_result
{
    bool applied = false;
};

struct reserve_orders_result
{
    /// 0 if nothing was reserved because a leader of a later term has reserved before.
    std::uint64_t first_sequence = 0;
};

struct no_result
{
};

struct apply_map_result
{
    /// False if the number in force is not lower, parts are missing or the content is
    /// invalid. Nothing has changed then.
    bool stored = false;
    /// Number of the configuration in force.
    std::uint64_t number = 0;
    /// Whether parts of the content are missing.
    bool lacks_content = false;
    /// Offsets of the stored parts, if some are missing.
    std::vector<std::uint64_t> held_parts;
    /// Why the content cannot be put in force; empty if it is valid.
    std::string problem;
};

struct pass_through_state_result
{
    std::uint64_t number = 0;
    /// Empty if no configuration is stored.
    content_digest content;
    /// Moves of all services, oldest first.
    std::vector<move_record> moves;
};

enum class start_move_outcome
{
    started,
    /// The latest order was sent again. Nothing has changed.
    repeated,
    unknown_service,
    /// A newer order for the service was committed first. Nothing has changed.
    outdated,
    /// The same move is running; it now has the time limit of this order.
    prolonged
};

struct start_move_result
{
    start_move_outcome outcome = start_move_outcome::unknown_service;
};

/// Usage counts of a closed window.
struct usage_window
{
    account_counts counts;
    /// Whether the platform has accepted the counts.
    bool is_confirmed = false;
};

struct usage_window_result
{
    usage_window window;
};

struct evacuation_result
{
    /// False if the data centre was in the requested state already, or the order is outdated.
    bool is_changed = false;
    /// Whether the order was based on an older number and had no effect.
    bool is_outdated = false;
    /// Number of the data centre's record after the command; 0 in results of earlier releases.
    std::uint64_t number = 0;
};

using command_result =
    std::variant<no_result, apply_result, update_move_result, reserve_orders_result,
                 request::at_most_once_reply, apply_map_result, pass_through_state_result,
                 start_move_result, usage_window_result, evacuation_result>;

/// Encodes as MessagePack. decode_command_result throws parse_error on damaged bytes.
std::string encode(command_result const& value);
command_result decode_command_result(std::string const& bytes);

/// State machine that all voters replicate by applying the same log. Deterministic.
class control_state
{
public:
    /// Applies the log entry at `index`. Entries have to be applied in order; only the indices
    /// of entries without a command may be skipped.
    command_result apply(std::uint64_t index, command const& entry);

    std::uint64_t applied_index() const;
    /// Returns the part of the state that all daemons need. It is copied at the first call
    /// after an entry, so a batch of entries costs one copy.
    std::shared_ptr<shared_state const> shared() const;
    request::at_most_once_table const& once_records() const;
    std::uint64_t next_order_sequence() const;
    /// Closed usage windows by number, at most `max_usage_windows` of them.
    std::map<std::uint64_t, usage_window> const& usage_windows() const;
    /// Counts of the windows that are not closed.
    usage_ledger const& open_usage() const;
    /// The largest `now` of the commands applied so far.
    wall_time latest_time() const;

    /// The snapshot is MessagePack. restore throws parse_error on damaged bytes.
    std::string snapshot() const;
    void restore(std::string const& bytes);

    /// Number of operations whose outcome is remembered. If an older one is resent, the result
    /// is a conflict, because its base is no longer current.
    static constexpr std::size_t max_operations = 10'000;

    /// Number of ended moves that are kept for each service.
    static constexpr std::size_t max_ended_moves = 16;

    /// If the same move is started again within this time after its end by a command without
    /// `resend_time`, the command is taken for a resent one and ignored.
    static constexpr duration resend_window = seconds(20);

    /// Number of closed usage windows that are kept.
    static constexpr std::size_t max_usage_windows = 64;
    /// Number of usage windows before the latest one that may still be open.
    static constexpr std::uint64_t max_open_windows = 64;

private:
    struct stored_operation
    {
        lagoonladder::generation generation;
        std::string digest;
    };

    command_result apply_body(apply_configuration const& body);
    command_result apply_body(update_move const& body);
    command_result apply_body(reserve_orders const& body);
    command_result apply_body(expire_records const& body);
    command_result apply_body(request::at_most_once_begin const& body);
    command_result apply_body(request::at_most_once_refuse const& body);
    command_result apply_body(request::at_most_once_finish const& body);
    command_result apply_body(apply_service_map const& body);
    command_result apply_body(read_pass_through_state const& body);
    command_result apply_body(start_service_move const& body);
    command_result apply_body(close_usage_window const& body);
    command_result apply_body(confirm_usage_window const& body);
    command_result apply_body(add_usage const& body);
    command_result apply_body(store_content_part const& body);
    command_result apply_body(set_evacuation const& body);
    apply_result conflict_result(lagoonladder::generation base) const;
    void store(apply_configuration const& body, configuration parsed, std::string digest);
    /// Puts a pass-through configuration in force. Returns why it cannot, or an empty text.
    std::string store(std::uint64_t number, packed_content content);
    void remove_old_operations();
    nlohmann::json snapshot_json() const;
    void restore_json(nlohmann::json const& in);

    std::uint64_t index = 0;
    wall_time time{};
    std::uint64_t order_term = 0;
    std::uint64_t order_sequence = 1;
    shared_state current_state;
    std::map<operation_id, stored_operation> operations;
    std::map<lagoonladder::generation, operation_id> operations_by_generation;
    request::at_most_once_table once;
    std::map<std::uint64_t, usage_window> closed_windows;
    usage_ledger ledger;
    /// Parts of contents that later commands refer to.
    content_assembly uploads;
    /// Copy of `current_state` that shared() returns; null after a change.
    mutable std::shared_ptr<shared_state const> shared_copy;
};

} // namespace lagoonladder::version

#endif
