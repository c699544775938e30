#include <requests_service.hpp>

#include <algorithm>
#include <condition_variable>

#include <companion_link.hpp>
#include <lagoonladder/control.hpp>

namespace lagoonladder::completion
{

namespace
{

// Limits how long a Fetch call occupies a thread of the gRPC server.
constexpr duration max_fetch_wait = seconds(2);

// An owner that gossip never listed is considered lost after the same time after which the
// entry directory declares an entry dead.
constexpr duration unlisted_owner_timeout = seconds(6);

grpc::Status missing_token_status()
{
    return {grpc::StatusCode::UNAUTHENTICATED, "the cluster token is missing or wrong"};
}

bool is_entry(control_view const& view, vm_id const& vm)
{
    return std::any_of(view.entries.begin(), view.entries.end(),
                       [&vm](auto const& entry) { return entry.vm == vm; });
}

/// Notifies a waiting thread that a request has changed.
struct change_signal
{
    std::mutex mutex;
    std::condition_variable condition;
    bool is_set = false;
};

/// Reads again after each change until there is something to send or the wait time is over.
request::fetch_result wait_for_tokens(completion_store& store, request_id const& id,
                                      account_id const& account, token_offset offset, duration wait)
{
    auto const until = std::chrono::steady_clock::now() + wait;
    while (true)
    {
        auto const signal = std::make_shared<change_signal>();
        auto result = store.read(id, account, offset,
                                 [signal]
                                 {
                                     std::lock_guard const lock(signal->mutex);
                                     signal->is_set = true;
                                     signal->condition.notify_one();
                                 });
        if (completion_store::is_worth_sending(result))
            return result;
        std::unique_lock lock(signal->mutex);
        if (!signal->condition.wait_until(lock, until, [&] { return signal->is_set; }))
            return result;
    }
}

} // namespace

bool requests_service::is_allowed(grpc::ServerContext const& call) const
{
    return control::has_cluster_token(call, this->context.config.cluster_token);
}

grpc::Status requests_service::Store(grpc::ServerContext* call,
                                     protocol::StoreRequest const* request,
                                     protocol::StoreReply* reply)
{
    if (!this->is_allowed(*call))
        return missing_token_status();
    auto accepted = from_message(*request);
    if (accepted.owner == this->context.config.vm || accepted.id.value().empty())
        return {grpc::StatusCode::INVALID_ARGUMENT, "the owner must be another entry"};
    accepted.companion = this->context.config.vm;
    {
        bool const is_listed = is_entry(*this->context.control.view(), accepted.owner);
        std::lock_guard const lock(this->mutex);
        auto& owner = this->owners[accepted.owner];
        owner.last_call = this->context.time.now();
        owner.was_listed = owner.was_listed || is_listed;
    }
    auto const result = this->store.hold(std::move(accepted));
    reply->set_held(result == request::journal_result::stored ||
                    result == request::journal_result::known);
    return grpc::Status::OK;
}

grpc::Status requests_service::Progress(grpc::ServerContext* call,
                                        protocol::ProgressRequest const* request,
                                        protocol::ProgressReply* reply)
{
    if (!this->is_allowed(*call))
        return missing_token_status();
    request_id const id(request->id());
    request::progress_batch batch;
    batch.offset = token_offset(request->offset());
    batch.tokens.assign(request->tokens().begin(), request->tokens().end());
    if (request->finished())
        batch.outcome = request::request_outcome{request->finish_reason(), request->failure(),
                                                 request->failure_status()};
    auto const result = this->store.add_progress(id, batch);
    reply->set_held(result == request::journal_result::stored ||
                    result == request::journal_result::known ||
                    result == request::journal_result::gap);
    reply->set_next_offset(this->store.next_offset(id).value_or(token_offset(0)).value());
    return grpc::Status::OK;
}

grpc::Status requests_service::Fetch(grpc::ServerContext* call,
                                     protocol::FetchRequest const* request,
                                     protocol::FetchReply* reply)
{
    if (!this->is_allowed(*call))
        return missing_token_status();
    auto const wait = std::min<duration>(milliseconds(request->wait_ms()), max_fetch_wait);
    auto result =
        wait_for_tokens(this->store, request_id(request->id()), account_id(request->account()),
                        token_offset(request->offset()), wait);
    switch (result.status)
    {
    case request::fetch_status::not_found:
        reply->set_status(protocol::FetchReply::NOT_FOUND);
        return grpc::Status::OK;
    case request::fetch_status::forbidden:
        reply->set_status(protocol::FetchReply::FORBIDDEN);
        return grpc::Status::OK;
    case request::fetch_status::found:
        break;
    }
    reply->set_status(protocol::FetchReply::FOUND);
    reply->set_offset(result.offset.value());
    for (auto& token : result.tokens)
        reply->add_tokens(std::move(token));
    reply->set_finished(result.outcome.has_value());
    if (result.outcome)
    {
        reply->set_failure(result.outcome->failure);
        reply->set_failure_status(result.outcome->failure_status);
        reply->set_finish_reason(result.outcome->finish_reason);
    }
    return grpc::Status::OK;
}

std::vector<vm_id> requests_service::lost_owners(control_view const& view)
{
    auto const now = this->context.time.now();
    std::vector<vm_id> lost;
    std::lock_guard const lock(this->mutex);
    for (auto owner = this->owners.begin(); owner != this->owners.end();)
    {
        bool const is_listed = is_entry(view, owner->first);
        owner->second.was_listed = owner->second.was_listed || is_listed;
        bool const is_lost =
            !is_listed &&
            (owner->second.was_listed || now - owner->second.last_call >= unlisted_owner_timeout);
        if (!is_lost)
        {
            ++owner;
            continue;
        }
        lost.push_back(owner->first);
        owner = this->owners.erase(owner);
    }
    return lost;
}

} // namespace lagoonladder::completion
