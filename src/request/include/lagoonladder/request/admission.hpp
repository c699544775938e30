#ifndef LAGOONLADDER_REQUEST_ADMISSION_HPP
#define LAGOONLADDER_REQUEST_ADMISSION_HPP

#include <map>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include <lagoonladder/request/fair_queue.hpp>
#include <lagoonladder/request/queue_trend.hpp>
#include <lagoonladder/request/queued_request.hpp>
#include <lagoonladder/request/service_rate.hpp>

namespace lagoonladder::request
{

/// Reason why the queue refused a request or gave it up.
enum class refusal_reason
{
    /// The predicted wait exceeds the fraction of the time until the deadline that is allowed for
    /// it.
    predicted_wait,
    /// The account holds its share of the bounded queue.
    queue_full,
    /// The deadline passed, or can no longer be met, while the request waited.
    deadline,
    /// A request with this id is already in the queue.
    duplicate
};

char const* to_string(refusal_reason reason);

/// Refusal of a request on arrival, or after it was given up in the queue. The request was not
/// dispatched.
struct queue_refusal
{
    lagoonladder::request_id request_id;
    /// Time after which a new attempt has a chance to be accepted.
    duration retry_after{};
    refusal_reason reason = refusal_reason::predicted_wait;
};

/// Result for a request that was added to the queue.
struct queue_acceptance
{
    duration predicted_wait{};
};

using admission_result = std::variant<queue_acceptance, queue_refusal>;

struct admission_options
{
    /// Maximum number of requests in the queue.
    std::size_t max_length = 2000;
    /// Fraction of max_length that drafts may use, so that they leave room for interactive
    /// requests.
    double max_draft_fraction = 0.75;
    /// Work per second that is assumed until a rate was measured.
    double initial_rate = 10;
    /// Time constant of the measured service rate.
    duration rate_window = seconds(10);
    /// A draft becomes aged, and is served although interactive requests wait, when it is older
    /// than `draft_ageing` and has waited for draft_ageing_share of the time until its deadline.
    duration draft_ageing = seconds(30);
    double draft_ageing_share = 0.25;
    /// Share of the work that aged drafts get while interactive requests wait; below 1.
    double aged_draft_share = 0.25;
    /// Fraction of the time until its deadline that the predicted wait of a new request may take;
    /// the rest covers the error of the prediction.
    double max_wait_fraction = 0.8;
    /// A waiting request is given up when its predicted wait exceeds the time until its deadline by
    /// this factor.
    double give_up_factor = 1.2;
    duration min_retry_after = seconds(1);
    duration max_retry_after = seconds(60);
    queue_trend_options trend;
};

/// Queue of accepted requests that wait for a free slot. Accounts get shares of the work by their
/// weights. Interactive requests are served before drafts, except that aged drafts get a share of
/// the work. Not safe for concurrent calls.
class admission_queue
{
public:
    explicit admission_queue(admission_options options = {});

    /// Adds the request to the queue, or refuses it at once with the time after which to retry.
    admission_result offer(time_point now, queued_request request);

    /// Removes and returns the next request. To be called when a slot is free. Requests past their
    /// deadline are given up and returned by expire().
    std::optional<queued_request> take(time_point now);

    /// Returns the requests that the queue has given up since the last call because they can no
    /// longer meet their deadline. To be called at least every 100 ms.
    std::vector<queue_refusal> expire(time_point now);

    /// Removes a request whose caller disconnected. Returns false when it is not in the queue.
    bool cancel(time_point now, request_id const& id);

    std::size_t size() const { return this->interactive.size() + this->drafts.size(); }
    duration oldest_age(time_point now) const;

    /// Predicted wait of a request of a new account.
    duration predicted_wait(request_priority priority) const;

    /// Estimated work per second that is taken while requests wait.
    double service_rate() const { return this->rate.value(); }

    /// To be called about once per second. Returns a value once when the queue has grown for some
    /// time, and once when the growth has ended.
    std::optional<queue_trend> observe(time_point now);

private:
    fair_queue& queue_of(request_priority priority);
    fair_queue const& queue_of(request_priority priority) const;
    void advance(time_point now);
    duration wait_for(request_priority priority, double work_ahead) const;
    duration retry_after(duration wait, duration acceptable_wait, request_id const& id) const;
    bool has_place(queued_request const& request) const;
    bool has_aged_draft(time_point now) const;
    bool is_draft_next(time_point now) const;
    void charge_draft_share(time_point now, queued_request const& taken);
    void expire_queue(time_point now, request_priority priority);
    void give_up(queued_request const& request, refusal_reason reason);

    admission_options options;
    lagoonladder::request::service_rate rate;
    trend_detector trend;
    fair_queue interactive;
    fair_queue drafts;
    std::map<request_id, std::pair<request_priority, account_id>> queued_ids;
    std::vector<queue_refusal> given_up;
    /// Decaying sum of the work of the interactive requests that were queued; determines the rate
    /// that remains for drafts.
    double recent_interactive_work = 0;
    std::optional<time_point> last_advance;
    /// Work that aged drafts may take before the next interactive request.
    double draft_credit = 0;
};

} // namespace lagoonladder::request

#endif
