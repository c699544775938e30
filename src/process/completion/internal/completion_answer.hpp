#ifndef LAGOONLADDER_COMPLETION_COMPLETION_ANSWER_HPP
#define LAGOONLADDER_COMPLETION_COMPLETION_ANSWER_HPP

#include <memory>
#include <string>

#include <lagoonladder/completion/api_exchange.hpp>
#include <token_source.hpp>

namespace lagoonladder::completion
{

/// What the answer says about the request.
struct answer_header
{
    request_id id;
    service_name service;
    bool is_chat = false;
};

/// Answers with a stream of the tokens from `offset` on. `first` is what was read already;
/// `counted` is released when the stream has ended.
void stream_answer(std::shared_ptr<api_exchange> exchange, std::shared_ptr<token_source> source,
                   answer_header const& header, request::fetch_result first, token_offset offset,
                   std::shared_ptr<open_request> counted);

/// Reads the whole answer and sends its JSON text.
void whole_answer(std::shared_ptr<api_exchange> exchange, std::shared_ptr<token_source> source,
                  answer_header const& header, request::fetch_result first,
                  std::shared_ptr<open_request> counted);

/// Sends the outcome of a request that failed before its first token.
void send_failure(api_exchange& exchange, request::request_outcome const& outcome);

} // namespace lagoonladder::completion

#endif
