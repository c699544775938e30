#ifndef LAGOONLADDER_REQUEST_FAIR_QUEUE_HPP
#define LAGOONLADDER_REQUEST_FAIR_QUEUE_HPP

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include <lagoonladder/request/queued_request.hpp>

namespace lagoonladder::request
{

/// Start-time fair queue: accounts get shares of the work by weight, and the requests of one
/// account keep their order. Not safe for concurrent calls.
class fair_queue
{
public:
    void push(queued_request request);

    /// Returns the request that pop() returns next; nullptr when the queue is empty.
    queued_request const* front() const;
    std::optional<queued_request> pop();

    /// Returns false when the account has no request with this id.
    bool erase(account_id const& account, request_id const& id);

    /// Removes the requests for which `give_up(request, work ahead)` is true, and returns them. The
    /// work ahead includes all requests that are served before this one.
    std::vector<queued_request>
    erase_if(std::function<bool(queued_request const&, double)> const& give_up);

    /// Whether the account may add a request while `free` places are left: it may hold up to twice
    /// the number of free places, in proportion to its weight, so that a place is always left for
    /// an account that holds none.
    bool has_place(account_id const& account, std::uint32_t weight, std::size_t free) const;

    /// Whether `matches` is true for the first request of any account.
    bool any_first(std::function<bool(queued_request const&)> const& matches) const;

    /// Work that is served before a new request of the account.
    double work_ahead(account_id const& account, std::uint32_t weight) const;

    double work() const { return this->total_work; }
    std::size_t size() const { return this->length; }
    std::optional<time_point> oldest_arrival() const;

private:
    struct account_queue
    {
        double weight = 1;
        /// Virtual time at which the next request of the account starts.
        double start = 0;
        double work = 0;
        std::deque<queued_request> requests;
    };

    using account_map = std::map<account_id, account_queue>;

    account_map::const_iterator next_account() const;
    /// Work of all accounts except `own` that is served before a request with this virtual start
    /// time.
    double others_ahead(account_queue const* own, double start) const;
    void remove_idle_accounts();
    /// Subtracts a removed request from the totals.
    void subtract_removed(account_queue& from, queued_request const& request);

    account_map accounts;
    double virtual_time = 0;
    double total_work = 0;
    std::size_t length = 0;
};

} // namespace lagoonladder::request

#endif
