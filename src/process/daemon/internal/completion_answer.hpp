#ifndef LAGOONLADDER_DAEMON_COMPLETION_ANSWER_HPP
#define LAGOONLADDER_DAEMON_COMPLETION_ANSWER_HPP

#include <memory>
#include <string>

#include <httplib.h>

#include <traffic_context.hpp>

namespace lagoonladder::daemon
{

/// Where the tokens of one accepted completion are read from.
class token_source
{
public:
    virtual ~token_source() = default;
    /// Tokens from `offset` on; waits a while for the first one or the outcome.
    virtual request::fetched read(token_offset offset) = 0;
};

/// What the answer says about the request.
struct answer_header
{
    request_id id;
    service_name service;
    bool is_chat = false;
};

/// Sets the response to a stream of the tokens from `offset` on. `first` is what was
/// read already; `counted` is released when the stream has ended.
void stream_answer(httplib::Response& response, std::shared_ptr<token_source> source,
                   answer_header const& header, request::fetched first, token_offset offset,
                   std::shared_ptr<open_request> counted);

/// Reads the whole answer and returns its JSON text; `outcome` gets the final state.
std::string whole_answer(token_source& source, answer_header const& header, request::fetched first,
                         request::request_outcome& outcome);

} // namespace lagoonladder::daemon

#endif
