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

/// Stores a configuration if `base` is still the current generation.
struct apply_configuration
{
    lagoonladder::generation base;
    std::string file;
    std::string text;
    /// Chosen by the operator's client once per intent; a resend carries the same one.
    operation_id operation;
};

/// Sets share and state of the running move of a service.
struct update_move
{
    service_name service;
    /// The update is dropped when the running move belongs to another generation.
    lagoonladder::generation generation;
    double share = 0;
    move_state state = move_state::running;
    std::string reason;
    std::map<std::string, std::string> figures;
};

/// Reserves the next order sequence for the current leader.
struct reserve_orders
{
    std::uint64_t term = 0;
    std::uint32_t count = 0;
};

/// Lets attempts past their deadline become unknown and drops old records.
struct expire_records
{
};

/// Stores a part of a content, for a command that names it. Parts outlive the leader
/// and the daemon that sent them.
struct store_content_part
{
    content_part part;
};

/// Stores a pass-through configuration when its number is the highest so far.
struct apply_service_map
{
    std::uint64_t number = 0;
    /// Packed service_configuration. It has no bytes when its parts were stored before.
    packed_content content;
};

/// Names the pass-through configuration and its moves, through the log, so that the
/// answer reflects everything that was acknowledged before.
struct read_pass_through_state
{
};

/// Starts a move of a pass-through service to another version.
struct start_service_move
{
    service_name service;
    version_name to;
    /// Time until the move has to be finished.
    duration time_limit{};
};

/// Adds the counts of entries, so that they outlive the entries and the leader.
struct add_usage
{
    std::vector<usage_report> reports;
};

/// Fixes the counts of one usage window from what was noted; later counts of it are
/// ignored.
struct close_usage_window
{
    std::uint64_t window = 0;
};

/// The usage of a window was taken by the platform.
struct confirm_usage_window
{
    std::uint64_t window = 0;
};

/// The command that puts a configuration in force. Throws parse_error when it is too large.
apply_service_map make_apply_command(service_configuration const& stated);

using command_body =
    std::variant<apply_configuration, update_move, reserve_orders, expire_records,
                 request::once_begin, request::once_refuse, request::once_finish, apply_service_map,
                 read_pass_through_state, start_service_move, close_usage_window,
                 confirm_usage_window, add_usage, store_content_part>;

/// A command as it stands in the log. `now` is set by the leader and never goes back.
struct command
{
    wall_time now{};
    command_body body;
};

/// MessagePack. decode_command throws parse_error on damaged bytes.
std::string encode(command const& value);
command decode_command(std::string const& bytes);

enum class apply_outcome
{
    stored,
    /// The operation was stored before; `generation` is the one it got then.
    repeated,
    /// Another configuration was stored first; winner_* name it.
    conflict,
    invalid
};

struct apply_result
{
    apply_outcome outcome = apply_outcome::invalid;
    /// The generation of this operation, for `stored` and `repeated`; else the current one.
    lagoonladder::generation generation;
    /// The operation that was stored on the same base; its digest is sha256_hex of its text.
    operation_id winner_operation;
    std::string winner_digest;
    /// What was wrong, for `invalid`; who was first, for `conflict`.
    std::string detail;
};

struct update_move_result
{
    bool applied = false;
};

struct reserve_orders_result
{
    /// 0 when nothing was reserved because a later term has reserved before.
    std::uint64_t first_sequence = 0;
};

struct no_result
{
};

struct apply_map_result
{
    /// False when the stored number was not lower, or parts are missing; nothing has
    /// changed then.
    bool stored = false;
    /// Number in force.
    std::uint64_t number = 0;
    /// Parts of the content are not stored.
    bool lacks_content = false;
    /// Positions of the parts that are stored, when some are missing.
    std::vector<std::uint64_t> held_parts;
    /// Why the content cannot be put in force; empty when it can.
    std::string problem;
};

struct pass_through_state_result
{
    std::uint64_t number = 0;
    /// Without a digest when no configuration is stored.
    content_digest content;
    /// Moves of all services, oldest first.
    std::vector<move_record> moves;
};

enum class start_move_outcome
{
    started,
    /// The move is running, or has just ended.
    repeated,
    unknown_service
};

struct start_move_result
{
    start_move_outcome outcome = start_move_outcome::unknown_service;
};

/// One closed window of usage counts.
struct usage_window
{
    account_counts counts;
    bool is_confirmed = false;
};

struct usage_window_result
{
    usage_window window;
};

using command_result =
    std::variant<no_result, apply_result, update_move_result, reserve_orders_result,
                 request::once_reply, apply_map_result, pass_through_state_result,
                 start_move_result, usage_window_result>;

std::string encode(command_result const& value);
command_result decode_command_result(std::string const& bytes);

/// State that all voters replicate. Deterministic.
class control_state
{
public:
    /// Applies the log entry at `index`; entries must come in order without gaps
    /// (indices of entries that carry no command may be skipped).
    command_result apply(std::uint64_t index, command const& entry);

    std::uint64_t applied_index() const;
    /// Copies the shared part when it is called for the first time after an entry,
    /// so that a batch of entries costs one copy.
    std::shared_ptr<shared_state const> shared() const;
    request::once_table const& once_records() const;
    std::uint64_t next_order_sequence() const;
    /// Closed usage windows by number; the oldest ones are dropped.
    std::map<std::uint64_t, usage_window> const& usage_windows() const;
    /// Counts of windows that are not closed.
    usage_ledger const& open_usage() const;
    /// The largest `now` that was applied.
    wall_time latest_time() const;

    /// MessagePack. restore throws parse_error on damaged bytes.
    std::string snapshot() const;
    void restore(std::string const& bytes);

    /// Operations whose first outcome is kept. The resend of an older one gets
    /// a conflict, because its base is no longer current.
    static constexpr std::size_t max_operations = 10'000;

    /// Ended moves that stay visible for each service.
    static constexpr std::size_t max_ended_moves = 16;

    /// A start of the same move within this time after its end is a resent one.
    static constexpr duration resent_start_age = seconds(20);

    static constexpr std::size_t max_usage_windows = 64;
    /// Windows before the latest one that may still be open.
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
    command_result apply_body(request::once_begin const& body);
    command_result apply_body(request::once_refuse const& body);
    command_result apply_body(request::once_finish const& body);
    command_result apply_body(apply_service_map const& body);
    command_result apply_body(read_pass_through_state const& body);
    command_result apply_body(start_service_move const& body);
    command_result apply_body(close_usage_window const& body);
    command_result apply_body(confirm_usage_window const& body);
    command_result apply_body(add_usage const& body);
    command_result apply_body(store_content_part const& body);
    apply_result conflict_result(lagoonladder::generation base) const;
    void store(apply_configuration const& body, configuration parsed, std::string digest);
    /// Puts a pass-through configuration in force; says why it cannot.
    std::string store(std::uint64_t number, packed_content content);
    void forget_old_operations();
    nlohmann::json snapshot_json() const;
    void restore_json(nlohmann::json const& in);

    std::uint64_t index = 0;
    wall_time time{};
    std::uint64_t order_term = 0;
    std::uint64_t order_sequence = 1;
    shared_state current;
    std::map<operation_id, stored_operation> operations;
    std::map<lagoonladder::generation, operation_id> operation_order;
    request::once_table once;
    std::map<std::uint64_t, usage_window> usage;
    usage_ledger ledger;
    /// Contents of commands that are still to come.
    content_assembly uploads;
    mutable std::shared_ptr<shared_state const> published;
};

} // namespace lagoonladder::version

#endif
