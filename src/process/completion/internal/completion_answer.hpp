#ifndef LAGOONLADDER_COMPLETION_COMPLETION_ANSWER_HPP
#define LAGOONLADDER_COMPLETION_COMPLETION_ANSWER_HPP

#include <memory>
#include <string>

#include <lagoonladder/completion/api_exchange.hpp>
#include <token_source.hpp>

namespace lagoonladder::completion
{

/// Properties of the request that are repeated in the answer.
struct answer_properties
{
    request_id id;
    service_name service;
    bool is_chat = false;
};

/// Responds with an event stream of the tokens from `offset` on. `first` is the batch that was
/// already read; `request_guard` is released when the stream has ended.
void stream_answer(std::shared_ptr<api_exchange> exchange, std::shared_ptr<token_source> source,
                   answer_properties const& properties, request::fetch_result first,
                   token_offset offset, std::shared_ptr<open_request> request_guard);

/// Reads the answer to its end and sends it as one JSON text. `first` is the batch that was
/// already read; `request_guard` is released after the response.
void send_buffered_answer(std::shared_ptr<api_exchange> exchange,
                          std::shared_ptr<token_source> source, answer_properties const& properties,
                          request::fetch_result first, std::shared_ptr<open_request> request_guard);

/// Responds with the status and the problem document of a request that failed before any of its
/// tokens was sent, and with a Retry-After header.
void send_failure(api_exchange& exchange, request::request_outcome const& outcome);

} // namespace lagoonladder::completion

#endif
