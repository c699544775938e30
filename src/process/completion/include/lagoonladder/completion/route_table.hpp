#ifndef LAGOONLADDER_COMPLETION_ROUTE_TABLE_HPP
#define LAGOONLADDER_COMPLETION_ROUTE_TABLE_HPP

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <lagoonladder/completion/api_exchange.hpp>

namespace lagoonladder::completion
{

/// Dispatches requests to the handlers of their routes. Requests without a matching route are
/// refused with status 404.
class route_table : public http::request_handler
{
public:
    using handler = std::function<void(std::shared_ptr<api_exchange> const&)>;

    explicit route_table(traffic_context& shared_context)
        : context(shared_context)
    {
    }

    /// Adds a route for exactly this path. Exceptions of the handler become the response, see
    /// api_exchange::guard().
    void add(std::string method, std::string path, handler action);

    /// Adds a route for paths that continue after `prefix` with one segment or, if
    /// `matches_remainder`, with any number of segments. The text after the prefix becomes
    /// the argument of the exchange.
    void add_prefix(std::string method, std::string prefix, bool matches_remainder, handler action);

    void handle(std::shared_ptr<http::server_exchange> const& http_exchange) override;
    /// Returns the body of the response to a request that the HTTP server rejects itself, and sets
    /// its header fields.
    std::string rejection_body(http::response_head& head, std::string const& reason) override;

private:
    struct route
    {
        std::string method;
        std::string path;
        bool is_prefix = false;
        bool matches_remainder = false;
        handler action;
    };

    static bool matches(route const& candidate, api_exchange const& exchange);

    traffic_context& context;
    std::vector<route> routes;
};

} // namespace lagoonladder::completion

#endif
