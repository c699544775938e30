#include <plain_call.hpp>

namespace lagoonladder::completion
{

namespace
{

/// Runs one idempotent call, retrying on other endpoints.
class idempotent_call : public std::enable_shared_from_this<idempotent_call>
{
public:
    idempotent_call(plain_dependencies const& common_dependencies, plain_call validated_call)
        : dependencies(common_dependencies)
        , call(std::move(validated_call))
        , query{this->call.service.name, this->call.version, this->call.target, {}}
    {
    }

    void start()
    {
        this->call.exchange->on_closed(
            [weak = this->weak_from_this()]
            {
                if (auto const self = weak.lock())
                    self->cancel();
            });
        this->dependencies.router.record_first_attempt(this->call.service);
        this->next_attempt();
    }

private:
    std::optional<connection::endpoint_record> choose()
    {
        auto const view = this->dependencies.context.control.view();
        auto endpoint = this->dependencies.router.choose(*view, this->query);
        if (endpoint || this->query.excluded_endpoints.empty())
            return endpoint;
        this->query.excluded_endpoints.clear();
        return this->dependencies.router.choose(*view, this->query);
    }

    void next_attempt()
    {
        if (this->is_cancelled)
            return;
        auto const endpoint = this->choose();
        if (!endpoint)
            return this->call.exchange->refuse({503, "no-endpoint",
                                                "no endpoint of the service is serving",
                                                execution::no, this->call.id.value(), seconds(2)});
        ++this->attempts;
        this->current = start_plain_attempt(this->dependencies, this->call, *endpoint, false,
                                            [self = this->shared_from_this(),
                                             id = endpoint->id](plain_attempt_result const& attempt)
                                            { self->on_attempt_end(id, attempt); });
        this->current_endpoint = *endpoint;
    }

    void on_attempt_end(endpoint_id const& endpoint, plain_attempt_result const& attempt)
    {
        this->current.reset();
        bool const is_answered = attempt.result == call_result::complete;
        if (is_answered && attempt.response.head.status < 500)
            return send_response(this->dependencies, this->call, attempt.response);
        this->query.excluded_endpoints.push_back(endpoint);
        request::retry_query retry;
        retry.attempts = this->attempts;
        retry.deadline = this->call.deadline;
        retry.idempotent = true;
        auto const decision = this->dependencies.router.decide_retry(this->call.service, retry);
        if (decision.delay)
            return run_later(*this->dependencies.context.loop, *decision.delay,
                             [self = this->shared_from_this()] { self->next_attempt(); });
        if (is_answered)
            return send_response(this->dependencies, this->call, attempt.response);
        this->call.exchange->refuse({502, "endpoint-failed",
                                     "the endpoint did not answer and no retry is allowed: " +
                                         std::string(request::to_string(decision.refusal)),
                                     execution::unknown, this->call.id.value()});
    }

    /// The caller has disconnected. Closing the connection to the endpoint ends its work.
    void cancel()
    {
        this->is_cancelled = true;
        auto const open_call = this->current.lock();
        if (!open_call)
            return;
        open_call->cancel();
        this->dependencies.router.attempt_ended(this->current_endpoint, std::nullopt);
    }

    plain_dependencies const dependencies;
    plain_call const call;
    endpoint_query query;
    /// Weak, because the call holds a reference to this object.
    std::weak_ptr<endpoint_call> current;
    connection::endpoint_record current_endpoint;
    std::uint32_t attempts = 0;
    bool is_cancelled = false;
};

} // namespace

void serve_idempotent(plain_dependencies const& dependencies, plain_call call)
{
    std::make_shared<idempotent_call>(dependencies, std::move(call))->start();
}

} // namespace lagoonladder::completion
