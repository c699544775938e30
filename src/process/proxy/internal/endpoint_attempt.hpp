#ifndef LAGOONLADDER_PROXY_ENDPOINT_ATTEMPT_HPP
#define LAGOONLADDER_PROXY_ENDPOINT_ATTEMPT_HPP

#include <memory>
#include <string>

#include <lagoonladder/proxy/call.hpp>

namespace lagoonladder::proxy
{

/// How an attempt ended.
enum class attempt_result
{
    complete,
    /// No byte of the request was sent.
    not_sent,
    /// The endpoint states that it did not execute the call.
    not_run,
    /// A response of the endpoint with a status of 500 or above.
    failed_answer,
    /// No response, an incomplete one, or one that did not come from the endpoint.
    broken,
    /// The endpoint sent no byte, or no complete event of a stream, for the silence timeout or
    /// until the deadline.
    silent
};

char const* to_string(attempt_result result);

class endpoint_attempt;

/// The call that an attempt belongs to; it receives the response and the end of the attempt.
class attempt_owner
{
public:
    virtual ~attempt_owner() = default;

    /// Receives the head of a valid response of the endpoint; the body follows.
    virtual void on_answer(endpoint_attempt& attempt, http::response_head const& head) = 0;
    virtual void on_answer_bytes(endpoint_attempt& attempt, std::string_view bytes) = 0;
    virtual void on_attempt_end(endpoint_attempt& attempt, attempt_result result,
                                std::string const& reason) = 0;
};

/// One attempt to execute a call at one endpoint: receives the response, checks that it is the
/// endpoint's response to this call, and reports the result to the owner.
class endpoint_attempt : public http::response_observer,
                         public std::enable_shared_from_this<endpoint_attempt>
{
public:
    endpoint_attempt(std::weak_ptr<attempt_owner> owning_call, call_codec const& translation,
                     connection::endpoint_record destination, request_id id, time_point now);

    /// Sends the head and the body of the request.
    void send(http::client& client, std::shared_ptr<std::string const> head_bytes,
              std::shared_ptr<std::string const> body, std::size_t max_connections);
    /// Closes the connection, so that the endpoint stops its work.
    void cancel();
    void pause();
    void resume();

    connection::endpoint_record const& endpoint() const { return this->target; }
    endpoint_answer const& answer() const { return this->received; }
    unsigned status() const { return this->answer_status; }
    time_point started() const { return this->start_time; }
    /// Whether any byte of the request may have reached the endpoint.
    bool may_have_sent() const { return this->call && this->call->may_have_sent(); }
    /// Whether the endpoint may have executed the call, wholly or in part.
    bool may_have_run() const;
    /// Whether the endpoint or its connection ended the response, and not this entry.
    bool was_ended_by_endpoint() const { return this->is_ended_by_endpoint; }

    http::head_action on_head(http::response_head const& head) override;
    void on_body(std::string_view bytes) override;
    void on_end() override;
    void on_failure(http::call_failure failure, std::string const& reason) override;

private:
    /// Ends the attempt as broken because of its response, whose connection is closed.
    http::head_action reject(std::string const& problem);
    /// Ends the attempt without waiting for the rest of the response's body.
    void drain();
    /// Returns why the response cannot be accepted; empty when it can.
    std::string find_problem(http::response_head const& head) const;
    void end(attempt_result result, std::string const& reason);

    std::weak_ptr<attempt_owner> owner;
    call_codec const& codec;
    connection::endpoint_record const target;
    request_id const request;
    time_point const start_time;
    std::shared_ptr<http::client_call> call;
    endpoint_answer received;
    unsigned answer_status = 0;
    std::uint64_t body_bytes = 0;
    bool is_valid = false;
    bool is_ended_by_endpoint = false;
    bool is_over = false;
};

} // namespace lagoonladder::proxy

#endif
