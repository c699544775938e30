#include <lagoonladder/version/order_book.hpp>

#include <algorithm>

namespace lagoonladder::version
{

namespace
{

/// Extends a waiting time on this clock so that at least `interval` passes on any other
/// clock, if the rates of both are within 1% of true time.
duration with_clock_drift(duration interval)
{
    return duration(interval.count() * 101 / 99 + 1);
}

} // namespace

order_book::order_book(order_options initial_options)
    : options(initial_options)
{
}

void order_book::start_leading(time_point now, std::uint64_t new_term)
{
    invariant(!this->term || *this->term <= new_term, "the term of the leader decreased");
    this->stop_leading();
    this->term = new_term;
    this->is_superseded = false;
    this->earlier_orders_end =
        now + with_clock_drift(this->options.lease + this->options.call_timeout);
}

void order_book::stop_leading()
{
    this->term.reset();
    this->sequences_left = 0;
    this->is_reserving = false;
    for (auto& [id, orders] : this->endpoints)
    {
        // Another leader may send other orders in the meantime, so all are sent again.
        for (auto& [kind, pending] : orders.orders_by_kind)
            pending.state = order_state::waiting;
        orders.in_flight.reset();
    }
}

void order_book::set_order(order_target const& target, order_kind kind, std::string argument)
{
    auto& orders = this->endpoints[target.endpoint];
    if (orders.target.incarnation != target.incarnation)
        orders.orders_by_kind.clear();
    orders.target = target;
    auto const [position, added] = orders.orders_by_kind.try_emplace(kind);
    if (!added && position->second.argument == argument)
        return;
    position->second = {std::move(argument), order_state::waiting, {}};
}

void order_book::remove_endpoint(endpoint_id const& endpoint)
{
    this->endpoints.erase(endpoint);
}

void order_book::add_sequences(std::uint64_t reserved_term, std::uint64_t first,
                               std::uint32_t count)
{
    if (this->term != reserved_term)
        return;
    this->is_reserving = false;
    this->next_sequence = first;
    this->sequences_left = count;
}

void order_book::reservation_failed()
{
    this->is_reserving = false;
}

bool order_book::may_send(order_target const& target, time_point now, bool lease_valid) const
{
    return target.checks_fencing || (lease_valid && now >= this->earlier_orders_end);
}

void order_book::fail_overdue_calls(time_point now, endpoint_orders& orders) const
{
    if (orders.in_flight && now >= orders.in_flight_until)
        this->finish(orders, order_result::failed, now + this->options.retry_interval);
}

void order_book::finish(endpoint_orders& orders, order_result result, time_point retry_at) const
{
    bool const is_done = result == order_result::done;
    if (!is_done && !orders.target.checks_fencing)
        orders.blocked_until = orders.in_flight_until;
    orders.in_flight.reset();
    auto const pending = orders.orders_by_kind.find(orders.in_flight_kind);
    // The order may have been replaced while it was being sent.
    if (pending == orders.orders_by_kind.end() ||
        pending->second.argument != orders.in_flight_argument)
        return;
    pending->second.state = is_done ? order_state::done : order_state::waiting;
    pending->second.not_before = retry_at;
}

bool order_book::send_next(time_point now, endpoint_orders& orders, order_actions& actions)
{
    for (auto& [kind, pending] : orders.orders_by_kind)
    {
        if (pending.state != order_state::waiting || now < pending.not_before)
            continue;
        if (this->sequences_left == 0)
            return false;
        --this->sequences_left;
        fencing_token const token{*this->term, this->next_sequence++};
        pending.state = order_state::sent;
        orders.in_flight = token;
        orders.in_flight_kind = kind;
        orders.in_flight_argument = pending.argument;
        orders.in_flight_until = now + with_clock_drift(this->options.call_timeout);
        actions.send.push_back({orders.target, kind, pending.argument, token});
        return true;
    }
    return true;
}

order_actions order_book::tick(time_point now, bool lease_valid)
{
    order_actions actions;
    if (!this->term || this->is_superseded)
        return actions;
    bool has_sequences = true;
    for (auto& [id, orders] : this->endpoints)
    {
        this->fail_overdue_calls(now, orders);
        if (!orders.in_flight && now >= orders.blocked_until &&
            this->may_send(orders.target, now, lease_valid))
            has_sequences = this->send_next(now, orders, actions) && has_sequences;
    }
    if (!has_sequences && !this->is_reserving)
    {
        this->is_reserving = true;
        actions.reserve = this->options.reserve_count;
    }
    return actions;
}

void order_book::on_result(time_point now, endpoint_id const& endpoint, fencing_token const& token,
                           order_result result)
{
    auto const found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end() || found->second.in_flight != token)
        return;
    if (result == order_result::stale_token)
        this->is_superseded = true;
    this->finish(found->second, result, now + this->options.retry_interval);
}

std::size_t order_book::open_orders() const
{
    std::size_t open = 0;
    for (auto const& [id, orders] : this->endpoints)
        open += static_cast<std::size_t>(
            std::count_if(orders.orders_by_kind.begin(), orders.orders_by_kind.end(),
                          [](auto const& item) { return item.second.state != order_state::done; }));
    return open;
}

} // namespace lagoonladder::version
