#ifndef LAGOONLADDER_COMPLETION_ROUTE_TABLE_HPP
#define LAGOONLADDER_COMPLETION_ROUTE_TABLE_HPP

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <lagoonladder/completion/api_exchange.hpp>

namespace lagoonladder::completion
{

/// Hands requests to the handlers of their routes and answers what no route takes.
class route_table : public http::request_handler
{
public:
    using handler = std::function<void(std::shared_ptr<api_exchange> const&)>;

    explicit route_table(traffic_context& shared)
        : context(shared)
    {
    }

    /// The path of exactly this text. Exceptions of the handler become the answer.
    void add(std::string method, std::string path, handler action);

    /// Paths that go on behind `prefix` with one part or, if `takes_rest`, any number of
    /// parts; what follows the prefix is the argument.
    void add_prefix(std::string method, std::string prefix, bool takes_rest, handler action);

    void handle(std::shared_ptr<http::server_exchange> const& received) override;
    std::string rejection_body(http::response_head& head, std::string const& reason) override;

private:
    struct route
    {
        std::string method;
        std::string path;
        bool is_prefix = false;
        bool takes_rest = false;
        handler action;
    };

    static bool matches(route const& known, api_exchange const& exchange);

    traffic_context& context;
    std::vector<route> routes;
};

} // namespace lagoonladder::completion

#endif
