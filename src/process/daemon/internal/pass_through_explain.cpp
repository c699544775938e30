#include "pass_through_plane.hpp"

namespace lagoonladder::daemon
{

namespace
{

explanation_reply explain_call(proxy::call_proxy const& proxy, proxy::placement_query const& query)
{
    try
    {
        return {proxy.explain(query), {}};
    }
    catch (proxy::unknown_placement const& unknown)
    {
        return {{}, unknown.what()};
    }
}

} // namespace

void pass_through_plane::explain(proxy::placement_query query,
                                 std::function<void(explanation_reply const&)> done)
{
    // The host counts as the header field of a call would.
    http::request_head head{"POST", query.path, {}};
    head.headers.set("Host", query.host);
    query.host = this->translation.decode(head).host;
    asio::post(*this->context, [this, query = std::move(query), done = std::move(done)]
               { done(explain_call(this->proxy, query)); });
}

} // namespace lagoonladder::daemon
