#include <remote_token_source.hpp>

#include <algorithm>

#include <entry_selector.hpp>
#include <requests.grpc.pb.h>

namespace lagoonladder::completion
{

namespace
{

constexpr duration fetch_wait = milliseconds(500);
constexpr duration rpc_time_margin = milliseconds(500);
constexpr duration round_interval = milliseconds(100);

// A take-over begins 6 s after an entry failed, when it is considered dead. A reader waits
// longer than that for another entry to hold the request.
constexpr duration max_recovery_wait = seconds(10);

// Maximum number of entries that are queried in one round.
constexpr std::size_t max_candidates = 16;

request::fetch_result to_fetched(protocol::FetchReply const& reply)
{
    request::fetch_result result;
    if (reply.status() == protocol::FetchReply::FORBIDDEN)
        result.status = request::fetch_status::forbidden;
    if (reply.status() != protocol::FetchReply::FOUND)
        return result;
    result.status = request::fetch_status::found;
    result.offset = token_offset(reply.offset());
    result.tokens.assign(reply.tokens().begin(), reply.tokens().end());
    if (reply.finished())
        result.outcome = request::request_outcome{reply.finish_reason(), reply.failure(),
                                                  reply.failure_status()};
    return result;
}

void add_unique(std::vector<vm_id>& list, vm_id const& vm)
{
    bool const is_listed = std::find(list.begin(), list.end(), vm) != list.end();
    if (!vm.value().empty() && !is_listed && list.size() < max_candidates)
        list.push_back(vm);
}

} // namespace

remote_token_source::remote_token_source(traffic_context& shared_context,
                                         completion_store& request_store, peer_channels& channels,
                                         request_id request, account_id request_account)
    : context(shared_context)
    , store(request_store)
    , peers(channels)
    , id(std::move(request))
    , account(std::move(request_account))
    , last_found(shared_context.time.now())
{
}

std::vector<vm_id> remote_token_source::candidates(control_view const& view) const
{
    std::vector<vm_id> list;
    add_unique(list, this->current);
    if (auto const parsed = request::parse_request_id(this->id))
    {
        add_unique(list, parsed->owner);
        add_unique(list, parsed->companion);
    }
    for (auto const& entry : view.entries)
        add_unique(list, entry.vm);
    return list;
}

void remote_token_source::read(token_offset offset, handler done)
{
    this->next = offset;
    this->pending_handler = std::move(done);
    this->was_found = !this->current.value().empty();
    this->begin_round();
}

void remote_token_source::begin_round()
{
    this->remaining_candidates = this->candidates(*this->context.control.view());
    std::reverse(this->remaining_candidates.begin(), this->remaining_candidates.end());
    this->query_next();
}

void remote_token_source::query_next()
{
    if (!this->remaining_candidates.empty())
    {
        auto const vm = this->remaining_candidates.back();
        this->remaining_candidates.pop_back();
        return this->query_entry(vm);
    }
    this->current = vm_id();
    // A request that no entry has held is reported immediately. A request that was held may be
    // held again after a take-over.
    if (!this->was_found || this->context.time.now() - this->last_found > max_recovery_wait)
        return std::exchange(this->pending_handler, nullptr)({});
    run_later(*this->context.loop, round_interval,
              [self = this->shared_from_this()] { self->begin_round(); });
}

void remote_token_source::query_entry(vm_id const& vm)
{
    if (vm == this->context.config.vm)
        return this->handle_result(vm, this->store.read(this->id, this->account, this->next));
    auto const view = this->context.control.view();
    auto const* entry = entry_selector::find(*view, vm);
    if (!entry)
        return this->query_next();
    protocol::FetchRequest message;
    message.set_id(this->id.value());
    message.set_account(this->account.value());
    message.set_offset(this->next.value());
    message.set_wait_ms(std::chrono::duration_cast<milliseconds>(fetch_wait).count());
    std::shared_ptr stub = protocol::Requests::NewStub(this->peers.channel(entry->control));
    call_async<protocol::FetchReply>(
        this->context.loop, this->peers, fetch_wait + rpc_time_margin, message,
        [stub](auto* call, auto const* sent, auto* reply, auto finished)
        { stub->async()->Fetch(call, sent, reply, std::move(finished)); },
        [stub, self = this->shared_from_this(), vm](grpc::Status const& status,
                                                    protocol::FetchReply const& reply)
        { self->handle_result(vm, status.ok() ? to_fetched(reply) : request::fetch_result()); });
}

void remote_token_source::handle_result(vm_id const& vm, request::fetch_result result)
{
    if (result.status == request::fetch_status::not_found)
        return this->query_next();
    if (result.status == request::fetch_status::found)
    {
        this->was_found = true;
        this->current = vm;
        this->last_found = this->context.time.now();
    }
    auto const done = std::exchange(this->pending_handler, nullptr);
    // Reading from this entry returns immediately, so an empty result is delayed to keep the
    // reader from polling in a busy loop.
    bool const is_empty = !completion_store::is_worth_sending(result);
    auto const delay = vm == this->context.config.vm && is_empty ? fetch_wait : duration(0);
    run_later(*this->context.loop, delay,
              [done, result = std::move(result)]() mutable { done(std::move(result)); });
}

} // namespace lagoonladder::completion
