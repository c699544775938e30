#ifndef LAGOONLADDER_REQUEST_ADMISSION_HPP
#define LAGOONLADDER_REQUEST_ADMISSION_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include <lagoonladder/base.hpp>

namespace lagoonladder::request
{

enum class request_priority
{
    interactive,
    /// May wait, but finishes.
    draft
};

struct queued_request
{
    lagoonladder::request_id request_id;
    account_id account;
    /// Share of the account in the fair queue; 0 counts as 1.
    std::uint32_t weight = 1;
    request_priority priority = request_priority::interactive;
    time_point deadline{};
    /// Work in the same unit for all requests, such as expected tokens; must be positive.
    double expected_work = 1;
    /// Set by offer().
    time_point arrived{};
};

enum class refusal_reason
{
    /// The predicted wait exceeds the deadline.
    predicted_wait,
    queue_full,
    /// The deadline passed, or can no longer be met, while the request waited.
    deadline,
    /// A request with this id is in the queue.
    duplicate
};

char const* to_string(refusal_reason reason);

/// A request that the queue has given up on; it was not dispatched.
struct refused
{
    lagoonladder::request_id request_id;
    duration retry_after{};
    refusal_reason reason = refusal_reason::predicted_wait;
};

struct queued
{
    duration predicted_wait{};
};

using admission_result = std::variant<queued, refused>;

struct admission_options
{
    std::size_t max_length = 2000;
    /// Work per second assumed until requests were taken from a waiting queue.
    double initial_rate = 10;
    /// Time constant of the measured service rate.
    duration rate_window = seconds(10);
    /// A draft older than this is served although interactive requests wait.
    duration draft_ageing = seconds(30);
    /// Share of the work that aged drafts get while interactive requests wait.
    double aged_draft_share = 0.25;
    /// A waiting request is given up when its predicted wait exceeds the time left by this factor.
    double give_up_factor = 1.5;
    duration min_retry_after = seconds(1);
    duration max_retry_after = seconds(60);
    /// How long age and predicted wait have to rise before the trend is reported.
    duration trend_time = std::chrono::minutes(2);
    /// Time constants of the two averages whose difference shows the trend.
    duration trend_fast = seconds(30);
    duration trend_slow = std::chrono::minutes(5);
};

/// Reported once when it begins and once when it ends.
struct queue_trend
{
    bool rising = false;
    duration oldest_age{};
    duration predicted_wait{};
    std::size_t length = 0;
};

/// Queue of accepted requests that wait for a free slot. Accounts get shares by
/// weight; interactive requests go before drafts, and drafts age.
/// Not safe for concurrent calls.
class admission_queue
{
public:
    explicit admission_queue(admission_options options = {});

    /// Queues the request, or refuses it at once with the time after which to retry.
    admission_result offer(time_point now, queued_request request);

    /// The next request; call it when a slot is free. Requests past their deadline are
    /// left for expire().
    std::optional<queued_request> take(time_point now);

    /// Requests that can no longer meet their deadline; they have left the queue.
    std::vector<refused> expire(time_point now);

    /// Removes a request whose caller went away. False when it is not in the queue.
    bool cancel(time_point now, request_id const& id);

    std::size_t size() const { return this->length; }
    duration oldest_age(time_point now) const;

    /// Wait that a request of a new account would have.
    duration predicted_wait(time_point now, request_priority priority) const;

    /// Work per second that was taken while requests waited.
    double service_rate(time_point now) const;

    /// Call about once a second. Returns a value when the queue begins to grow (age of the
    /// oldest request and predicted wait both rise for trend_time) and when that ends.
    std::optional<queue_trend> observe(time_point now);

private:
    struct account_queue
    {
        std::uint32_t weight = 1;
        /// Virtual time at which the account's next request starts.
        double start = 0;
        double work = 0;
        std::deque<queued_request> requests;
    };

    struct priority_class
    {
        double virtual_time = 0;
        double work = 0;
        std::map<account_id, account_queue> accounts;
    };

    struct rising_average
    {
        double fast = 0;
        double slow = 0;
    };

    priority_class& class_of(request_priority priority);
    priority_class const& class_of(request_priority priority) const;
    void advance_rate(time_point now);
    double work_ahead(priority_class const& level, account_queue const* own, double weight,
                      double own_ahead) const;
    duration wait_for(time_point now, request_priority priority, account_id const& account,
                      std::uint32_t weight, double own_ahead) const;
    duration retry_after(duration wait, duration budget, request_id const& id) const;
    std::optional<request_priority> next_class(time_point now) const;
    std::optional<queued_request> pop(time_point now, priority_class& level);
    void expire_account(time_point now, request_priority priority, account_id const& account,
                        account_queue& waiting, std::vector<refused>& out);
    bool is_trend_rising(rising_average const& value) const;
    void update_average(rising_average& average, double value, duration step) const;

    admission_options options;
    priority_class interactive;
    priority_class drafts;
    std::size_t length = 0;
    /// Work taken and time with a waiting queue, both decaying.
    double taken_work = 0;
    double busy_time = 0;
    /// Decaying interactive work offered, for the share that drafts get.
    double interactive_offered = 0;
    time_point rate_at{};
    bool started = false;
    double draft_credit = 0;
    rising_average age_average;
    rising_average wait_average;
    std::optional<time_point> observed_at;
    std::optional<time_point> rising_since;
    bool trend_reported = false;
};

} // namespace lagoonladder::request

#endif
