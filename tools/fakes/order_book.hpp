#ifndef LAGOONLADDER_FAKES_ORDER_BOOK_HPP
#define LAGOONLADDER_FAKES_ORDER_BOOK_HPP

#include <functional>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace lagoonladder::fakes
{

/// Receives the orders to an engine and optionally refuses those with a stale fencing token.
/// Repeated orders are not executed again.
class order_book
{
public:
    order_book(bool check_fencing, std::function<void(nlohmann::json const&)> execute);

    /// Adds POST /v1/orders and GET /v1/orders to a server.
    void install(httplib::Server& server);

private:
    void handle(httplib::Request const& request, httplib::Response& response);

    bool check_fencing;
    std::function<void(nlohmann::json const&)> execute;
    std::mutex mutex;
    std::pair<std::uint64_t, std::uint64_t> highest_token{0, 0};
    nlohmann::json accepted_orders = nlohmann::json::array();
    std::uint64_t refused_count = 0;
};

} // namespace lagoonladder::fakes

#endif
