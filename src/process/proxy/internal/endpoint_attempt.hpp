#ifndef LAGOONLADDER_PROXY_ENDPOINT_ATTEMPT_HPP
#define LAGOONLADDER_PROXY_ENDPOINT_ATTEMPT_HPP

#include <memory>
#include <string>

#include <lagoonladder/proxy/call.hpp>

namespace lagoonladder::proxy
{

enum class attempt_result
{
    complete,
    /// No byte was sent.
    not_sent,
    /// The endpoint states that it did not run the call.
    not_run,
    /// An answer of the endpoint with a status of 500 or more.
    failed_answer,
    /// No answer, an incomplete one, or one that is not the endpoint's own.
    broken,
    /// No byte for longer than the call can wait.
    silent
};

char const* to_string(attempt_result result);

class endpoint_attempt;

/// The call that an attempt belongs to.
class attempt_owner
{
public:
    virtual ~attempt_owner() = default;

    /// The endpoint answers the call itself; the body follows.
    virtual void on_answer(endpoint_attempt& attempt, http::response_head const& head) = 0;
    virtual void on_answer_bytes(endpoint_attempt& attempt, std::string_view bytes) = 0;
    virtual void on_attempt_end(endpoint_attempt& attempt, attempt_result result,
                                std::string const& reason) = 0;
};

/// One try of a call at one endpoint: reads the answer and tells what it is worth.
class endpoint_attempt : public http::response_observer,
                         public std::enable_shared_from_this<endpoint_attempt>
{
public:
    endpoint_attempt(std::weak_ptr<attempt_owner> call, call_codec const& translation,
                     connection::endpoint_record to, request_id id, time_point now);

    void send(http::client& client, std::shared_ptr<std::string const> request,
              std::size_t max_connections);
    /// Closes the connection, so that the endpoint stops its work.
    void cancel();
    void pause();
    void resume();

    connection::endpoint_record const& endpoint() const { return this->target; }
    endpoint_answer const& answer() const { return this->received; }
    unsigned status() const { return this->answer_status; }
    time_point started() const { return this->begin; }
    bool may_have_run() const;

    http::head_action on_head(http::response_head const& head) override;
    void on_body(std::string_view bytes) override;
    void on_end() override;
    void on_failure(http::call_failure failure, std::string const& reason) override;

private:
    /// Ends the attempt without the body of the answer.
    void drain();
    std::string problem_of(http::response_head const& head) const;
    void end(attempt_result result, std::string const& reason);

    std::weak_ptr<attempt_owner> owner;
    call_codec const& codec;
    connection::endpoint_record const target;
    request_id const request;
    time_point const begin;
    std::shared_ptr<http::client_call> call;
    endpoint_answer received;
    unsigned answer_status = 0;
    std::uint64_t body_bytes = 0;
    bool is_valid = false;
    bool is_over = false;
};

} // namespace lagoonladder::proxy

#endif
