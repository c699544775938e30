#ifndef LAGOONLADDER_VERSION_ORDER_SCHEDULER_HPP
#define LAGOONLADDER_VERSION_ORDER_SCHEDULER_HPP

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <lagoonladder/base.hpp>

namespace lagoonladder::version
{

/// Endpoints that check tokens refuse one that is smaller than the largest seen.
struct fencing_token
{
    std::uint64_t term = 0;
    /// From reserve_orders, so that it grows over all leaders.
    std::uint64_t sequence = 0;

    friend auto operator<=>(fencing_token const&, fencing_token const&) = default;
};

enum class order_kind
{
    load_version,
    change_role
};

/// Where an order goes; from the announcement of the endpoint.
struct order_target
{
    endpoint_id endpoint;
    network_address address;
    /// A restarted endpoint gets its orders again.
    lagoonladder::incarnation incarnation;
    bool checks_fencing = false;
};

struct order
{
    order_target target;
    order_kind kind = order_kind::load_version;
    /// Version or role.
    std::string argument;
    fencing_token token;
};

enum class order_result
{
    done,
    /// The endpoint has seen a larger token.
    stale_token,
    /// Refused for another reason, or no answer within call_timeout.
    failed
};

struct order_options
{
    /// Election timeout of the consensus group; no lease is longer.
    duration lease = seconds(1);
    /// The call of an order is closed after this; an order arrives by then or never.
    duration call_timeout = seconds(2);
    duration retry_interval = seconds(1);
    /// Sequences to ask for at a time.
    std::uint32_t reserve_count = 64;
};

struct order_actions
{
    /// To send now; the answer goes to on_result.
    std::vector<order> send;
    /// When positive, reserve_orders is to be committed with this count and the
    /// current term; the result goes to add_sequences.
    std::uint32_t reserve = 0;
};

/// Orders of the leader to model engines. Deterministic; not thread-safe.
///
/// Endpoints that ignore tokens are protected by time alone: a leader sends to
/// them only under a valid lease, and a new leader first waits until the lease of
/// the old one and the calls begun under it have ended. A process that is
/// suspended between tick() and the send is not covered by this.
class order_scheduler
{
public:
    explicit order_scheduler(order_options initial_options = {});

    /// This process has become the leader of `term`. Orders that are not known to
    /// be done are sent again with tokens of this term.
    void start_leading(time_point now, std::uint64_t term);
    /// This process is no longer the leader; nothing is sent any more.
    void stop_leading();

    /// Sets what the endpoint should do; replaces an earlier order of the kind.
    void set_order(order_target const& target, order_kind kind, std::string argument);
    /// The endpoint has left.
    void remove_endpoint(endpoint_id const& endpoint);

    /// Adds the reserved sequences first, ..., first + count - 1. Those of another
    /// term are dropped.
    void add_sequences(std::uint64_t term, std::uint64_t first, std::uint32_t count);
    /// The reservation has failed; it is asked for again.
    void reservation_failed();

    /// `lease_valid` as told by consensus::node::lease_valid at the same time.
    order_actions tick(time_point now, bool lease_valid);
    void on_result(time_point now, endpoint_id const& endpoint, fencing_token const& token,
                   order_result result);

    /// True when an endpoint has seen a token of a later leader: this process
    /// has been replaced and sends nothing until it leads again.
    bool superseded() const { return this->is_superseded; }
    /// Number of orders not known to be done.
    std::size_t open_orders() const;

private:
    enum class progress
    {
        waiting,
        sent,
        done
    };

    struct pending_order
    {
        std::string argument;
        progress state = progress::waiting;
        /// Earliest time of the next attempt.
        time_point not_before{};
    };

    struct endpoint_orders
    {
        order_target target;
        std::map<order_kind, pending_order> orders_by_kind;
        /// The order on its way; there is at most one per endpoint, so that
        /// orders of one leader do not overtake each other.
        std::optional<fencing_token> in_flight;
        order_kind in_flight_kind = order_kind::load_version;
        /// Content of the order on its way.
        std::string in_flight_argument;
        time_point in_flight_until{};
        /// A call that failed early may still arrive until then.
        time_point blocked_until{};
    };

    bool may_send(order_target const& target, time_point now, bool lease_valid) const;
    void end_late_calls(time_point now, endpoint_orders& orders) const;
    void finish(endpoint_orders& orders, order_result result, time_point retry_at) const;
    bool send_next(time_point now, endpoint_orders& orders, order_actions& actions);

    order_options options;
    std::optional<std::uint64_t> term;
    bool is_superseded = false;
    bool reserving = false;
    /// From here on no order of an earlier leader is on its way to any endpoint.
    time_point old_orders_end{};
    std::uint64_t next_sequence = 0;
    std::uint64_t sequences_left = 0;
    std::map<endpoint_id, endpoint_orders> endpoints;
};

} // namespace lagoonladder::version

#endif
