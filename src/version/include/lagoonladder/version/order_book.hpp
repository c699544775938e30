#ifndef LAGOONLADDER_VERSION_ORDER_BOOK_HPP
#define LAGOONLADDER_VERSION_ORDER_BOOK_HPP

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <lagoonladder/base.hpp>

namespace lagoonladder::version
{

/// Token of an order, which increases across all leaders. Endpoints that check tokens refuse
/// an order whose token is smaller than the largest one they have seen.
struct fencing_token
{
    std::uint64_t term = 0;
    /// Reserved by the command reserve_orders, so it increases across leaders.
    std::uint64_t sequence = 0;

    friend auto operator<=>(fencing_token const&, fencing_token const&) = default;
};

enum class order_kind
{
    load_version,
    change_role
};

/// Endpoint that an order is sent to, as announced by it.
struct order_target
{
    endpoint_id endpoint;
    network_address address;
    /// Changes when the endpoint restarts; its orders are then sent again.
    lagoonladder::incarnation incarnation;
    /// Whether the endpoint checks fencing tokens.
    bool checks_fencing = false;
};

struct order
{
    order_target target;
    order_kind kind = order_kind::load_version;
    /// Name of the version or role, depending on `kind`.
    std::string argument;
    fencing_token token;
};

enum class order_result
{
    done,
    /// The endpoint has seen a larger token.
    stale_token,
    /// Refused for another reason, or no response within `call_timeout`.
    failed
};

struct order_options
{
    /// Election timeout of the consensus group, the maximum duration of a lease.
    duration lease = seconds(1);
    /// Time after which the connection of an order is closed. An order can't arrive later.
    duration call_timeout = seconds(2);
    duration retry_interval = seconds(1);
    /// Number of sequence numbers to reserve at a time.
    std::uint32_t reserve_count = 64;
};

struct order_actions
{
    /// Orders to send now. Their results are to be passed to on_result.
    std::vector<order> send;
    /// If positive, the command reserve_orders has to be committed with this count and the
    /// current term, and its result passed to add_sequences.
    std::uint32_t reserve = 0;
};

/// Open orders of the leader to model engines. Decides when each one is sent. Deterministic;
/// not thread-safe.
///
/// Endpoints that ignore tokens are protected from orders of an earlier leader by time
/// alone: a leader sends to them only while its lease is valid, and a new leader first waits
/// until the lease of its predecessor and the calls begun under it have ended. This does not
/// cover a process that is suspended between tick() and sending.
class order_book
{
public:
    explicit order_book(order_options initial_options = {});

    /// Called when this process becomes the leader of `term`. Orders that are not known to
    /// be done are sent again with tokens of this term.
    void start_leading(time_point now, std::uint64_t term);
    /// Called when this process is no longer the leader. No further orders are sent.
    void stop_leading();

    /// Sets the order of this kind for an endpoint; it replaces an earlier one.
    void set_order(order_target const& target, order_kind kind, std::string argument);
    /// Removes an endpoint that has left, with its orders.
    void remove_endpoint(endpoint_id const& endpoint);

    /// Adds the reserved sequence numbers `first` to `first + count - 1`. Numbers reserved for
    /// another term are ignored.
    void add_sequences(std::uint64_t term, std::uint64_t first, std::uint32_t count);
    /// Called when a reservation has failed. The next tick requests another one.
    void reservation_failed();

    /// Returns what to do now. `lease_valid` is the result of consensus::node::lease_valid at
    /// the same time.
    order_actions tick(time_point now, bool lease_valid);
    void on_result(time_point now, endpoint_id const& endpoint, fencing_token const& token,
                   order_result result);

    /// Whether an endpoint has seen a token of a later leader. This process then sends nothing
    /// until it becomes the leader again.
    bool superseded() const { return this->is_superseded; }
    /// Number of orders that are not known to be done.
    std::size_t open_orders() const;

private:
    enum class order_state
    {
        waiting,
        sent,
        done
    };

    struct pending_order
    {
        std::string argument;
        order_state state = order_state::waiting;
        /// Earliest time of the next attempt.
        time_point not_before{};
    };

    struct endpoint_orders
    {
        order_target target;
        std::map<order_kind, pending_order> orders_by_kind;
        /// Token of the order being sent. There is at most one per endpoint, so that the
        /// orders of one leader can't overtake each other.
        std::optional<fencing_token> in_flight;
        order_kind in_flight_kind = order_kind::load_version;
        /// Argument of the order being sent.
        std::string in_flight_argument;
        /// Time at which the call is closed.
        time_point in_flight_until{};
        /// An order whose call failed early may still arrive until this time.
        time_point blocked_until{};
    };

    bool may_send(order_target const& target, time_point now, bool lease_valid) const;
    void fail_overdue_calls(time_point now, endpoint_orders& orders) const;
    void finish(endpoint_orders& orders, order_result result, time_point retry_at) const;
    /// Adds the next order to `actions`. Returns false if there is one but no sequence number
    /// is left.
    bool send_next(time_point now, endpoint_orders& orders, order_actions& actions);

    order_options options;
    std::optional<std::uint64_t> term;
    bool is_superseded = false;
    bool is_reserving = false;
    /// From this time on, no order of an earlier leader can arrive at an endpoint.
    time_point earlier_orders_end{};
    std::uint64_t next_sequence = 0;
    std::uint64_t sequences_left = 0;
    std::map<endpoint_id, endpoint_orders> endpoints;
};

} // namespace lagoonladder::version

#endif
