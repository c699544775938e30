#ifndef LAGOONLADDER_REQUEST_QUOTA_HOLDER_ROUND_HPP
#define LAGOONLADDER_REQUEST_QUOTA_HOLDER_ROUND_HPP

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include <lagoonladder/base.hpp>

namespace lagoonladder::request
{

/// Answer of an entry that was asked for tokens.
struct lender_reply
{
    double lent = 0;
    /// The lender holds tokens of the account, so that no tokens mean a refusal. False at
    /// an entry without the configuration, or that does not count itself as a keeper.
    bool is_holder = false;
};

/// What the other entries gave for one call.
struct lending_outcome
{
    double lent = 0;
    /// Lenders refused. False when none of them reply_received, which says nothing on the quota.
    bool refused = false;
};

/// Decides which quota_holder_count are asked for the tokens of one call and when the call goes on.
/// The caller sends the messages and runs the timers. Keepers are numbered in the order in
/// which they are asked.
class quota_holder_round
{
public:
    /// Longer than a message to another region and back. The next keeper is then asked as
    /// well; the first may still answer.
    static constexpr duration reply_timeout = milliseconds(60);
    /// A call that waits longer for its tokens misses the latency that its route states.
    static constexpr duration max_duration = milliseconds(400);

    quota_holder_round(std::size_t quota_holder_count, double missing);

    /// Each returns the keeper to ask next, if one is to be asked now.
    std::optional<std::size_t> start();
    std::optional<std::size_t> reply_received(std::size_t keeper, lender_reply const& reply);
    /// The message was lost, or the keeper cannot be reached.
    std::optional<std::size_t> failed(std::size_t keeper);
    /// No answer for `reply_timeout`.
    std::optional<std::size_t> reply_overdue(std::size_t keeper);

    /// The time is over.
    void expire() { this->over = true; }
    bool is_over() const { return this->over; }
    /// Once the round is over. Later answers are not part of it.
    lending_outcome outcome() const;

private:
    std::optional<std::size_t> ask_next();

    std::size_t const count;
    double const missing;
    std::size_t asked = 0;
    std::size_t ended = 0;
    std::size_t refusals = 0;
    /// Keepers that reply_received or failed, or after which another one was asked.
    std::vector<bool> settled;
    double lent = 0;
    bool over = false;
};

/// Remembers which lenders were reply_overdue, so that the next rounds ask the others first.
class lender_contacts
{
public:
    /// A lender that was stopped or cut off is tried first again after this time.
    static constexpr duration memory = seconds(1);

    void reply_overdue(time_point now, network_address const& lender);
    void reply_received(network_address const& lender);

    /// The lenders in the order to ask them, random among those that answer.
    std::vector<network_address> order(time_point now, std::vector<network_address> lenders,
                                       random_source& random);

private:
    std::map<network_address, time_point> silent_until;
};

} // namespace lagoonladder::request

#endif
