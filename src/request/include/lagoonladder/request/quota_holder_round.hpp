#ifndef LAGOONLADDER_REQUEST_QUOTA_HOLDER_ROUND_HPP
#define LAGOONLADDER_REQUEST_QUOTA_HOLDER_ROUND_HPP

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include <lagoonladder/base.hpp>

namespace lagoonladder::request
{

/// Reply of an entry that was asked for tokens.
struct lender_reply
{
    double lent = 0;
    /// Whether the lender is a quota holder of the account, so that a reply without tokens is a
    /// refusal. False at an entry that lacks the configuration or does not consider itself a quota
    /// holder.
    bool is_holder = false;
};

/// Tokens that the other entries lent for one request.
struct lending_outcome
{
    double lent = 0;
    /// Whether enough lenders refused to show that the tokens are used up. Silence says nothing
    /// about the quota.
    bool refused = false;
};

/// Decides which quota holders are asked for the tokens of one request, and when the request
/// continues. The code that uses the class sends the messages and runs the timers. Quota holders
/// are numbered in the order in which they are asked.
class quota_holder_round
{
public:
    /// Longer than a round trip to another region. When it has passed, the next holder is asked as
    /// well; the first one may still reply. `lender_contacts` states more for slow lenders.
    static constexpr duration reply_timeout = milliseconds(60);
    /// A request that waits longer than this for its tokens misses the latency objective of its
    /// route.
    static constexpr duration max_duration = milliseconds(400);
    /// Time after which a reply is no longer expected. It is longer than `max_duration`, so that
    /// the tokens of a late reply can be returned to the holder instead of being lost.
    static constexpr duration reply_retention = 2 * max_duration;

    /// `missing` is the number of tokens that the request lacks.
    quota_holder_round(std::size_t quota_holder_count, double missing);

    /// Each of these functions returns the holder to ask next, if one is to be asked now.
    std::optional<std::size_t> start();
    std::optional<std::size_t> reply_received(std::size_t holder, lender_reply const& reply);
    /// The message was lost, or the holder is unreachable.
    std::optional<std::size_t> failed(std::size_t holder);
    /// No reply arrived within `reply_timeout`.
    std::optional<std::size_t> reply_overdue(std::size_t holder);

    /// Ends the round because its maximum duration has passed.
    void expire() { this->over = true; }
    bool is_over() const { return this->over; }
    /// Result of the round once it is over. Replies after that are not part of it.
    lending_outcome outcome() const;

private:
    std::optional<std::size_t> ask_next();
    /// Whether enough holders refused, and all but one replied or are out of reach.
    bool is_refused() const;

    std::size_t const quota_holder_count;
    double const missing;
    /// Number of holders that were asked.
    std::size_t asked = 0;
    /// Number of holders that replied or failed.
    std::size_t completed = 0;
    std::size_t refusals = 0;
    /// Holders that replied or failed, or after which another one was asked.
    std::vector<bool> settled;
    double lent = 0;
    bool over = false;
};

/// Records which lenders did not reply in time, so that the next rounds ask the others first.
class lender_contacts
{
public:
    /// Time for which a lender that did not reply is asked last. Afterwards it may be asked first
    /// again, because it may have been restarted or reconnected.
    static constexpr duration overdue_retention = seconds(1);

    void reply_overdue(time_point now, network_address const& lender);
    void reply_received(network_address const& lender);
    /// Records the time from a message to its reply, also of a reply that was overdue.
    void record_reply_time(network_address const& lender, duration elapsed);
    /// Time after which the next lender is asked as well. It grows with the time that this lender
    /// takes: several lenders that lend for the same request would give away tokens several times.
    duration reply_timeout(network_address const& lender) const;

    /// Returns the lenders in the order in which to ask them: those with a recent overdue reply
    /// last, otherwise random.
    std::vector<network_address> order(time_point now, std::vector<network_address> lenders,
                                       random_source& random);

private:
    duration mean_reply_time() const;

    std::map<network_address, time_point> overdue_until;
    /// Moving averages, for lenders that have replied.
    std::map<network_address, duration> reply_times;
};

} // namespace lagoonladder::request

#endif
