#include <remote_token_source.hpp>

#include <algorithm>

#include <requests.grpc.pb.h>
#include <traffic_entries.hpp>

namespace lagoonladder::completion
{

namespace
{

constexpr duration fetch_wait = milliseconds(500);
constexpr duration call_allowance = milliseconds(500);
constexpr duration pause_between_rounds = milliseconds(100);

// A take-over begins after the 6 s after which an entry counts as dead; a reader
// waits that long for an entry that holds the request.
constexpr duration patience = seconds(10);

// Entries that are asked in one round.
constexpr std::size_t max_candidates = 16;

request::fetch_result to_fetched(protocol::FetchReply const& reply)
{
    request::fetch_result found;
    if (reply.status() == protocol::FetchReply::FORBIDDEN)
        found.status = request::fetch_status::forbidden;
    if (reply.status() != protocol::FetchReply::FOUND)
        return found;
    found.status = request::fetch_status::found;
    found.offset = token_offset(reply.offset());
    found.tokens.assign(reply.tokens().begin(), reply.tokens().end());
    if (reply.finished())
        found.outcome = request::request_outcome{reply.finish_reason(), reply.failure(),
                                                 reply.failure_status()};
    return found;
}

void add_once(std::vector<vm_id>& list, vm_id const& vm)
{
    bool const is_known = std::find(list.begin(), list.end(), vm) != list.end();
    if (!vm.value().empty() && !is_known && list.size() < max_candidates)
        list.push_back(vm);
}

} // namespace

remote_token_source::remote_token_source(traffic_context& shared, completion_store& requests,
                                         peer_channels& channels, request_id request,
                                         account_id caller)
    : context(shared)
    , store(requests)
    , peers(channels)
    , id(std::move(request))
    , account(std::move(caller))
    , last_found(shared.time.now())
{
}

std::vector<vm_id> remote_token_source::candidates(control_view const& view) const
{
    std::vector<vm_id> list;
    add_once(list, this->current);
    if (auto const parsed = request::parse_request_id(this->id))
    {
        add_once(list, parsed->owner);
        add_once(list, parsed->companion);
    }
    for (auto const& entry : view.entries)
        add_once(list, entry.vm);
    return list;
}

void remote_token_source::read(token_offset offset, handler done)
{
    this->next = offset;
    this->waiting = std::move(done);
    this->was_found = !this->current.value().empty();
    this->begin_round();
}

void remote_token_source::begin_round()
{
    this->round = this->candidates(*this->context.control.view());
    std::reverse(this->round.begin(), this->round.end());
    this->ask_next();
}

void remote_token_source::ask_next()
{
    if (!this->round.empty())
    {
        auto const vm = this->round.back();
        this->round.pop_back();
        return this->ask(vm);
    }
    this->current = vm_id();
    // An id that nobody knows is reported at once; one that was known may be known
    // again after a take-over.
    if (!this->was_found || this->context.time.now() - this->last_found > patience)
        return std::exchange(this->waiting, nullptr)({});
    run_later(*this->context.loop, pause_between_rounds,
              [self = this->shared_from_this()] { self->begin_round(); });
}

void remote_token_source::ask(vm_id const& vm)
{
    if (vm == this->context.config.vm)
        return this->take(vm, this->store.read(this->id, this->account, this->next));
    auto const view = this->context.control.view();
    auto const* entry = traffic_entries::find(*view, vm);
    if (!entry)
        return this->ask_next();
    protocol::FetchRequest message;
    message.set_id(this->id.value());
    message.set_account(this->account.value());
    message.set_offset(this->next.value());
    message.set_wait_ms(std::chrono::duration_cast<milliseconds>(fetch_wait).count());
    std::shared_ptr stub = protocol::Requests::NewStub(this->peers.channel(entry->control));
    call_async<protocol::FetchReply>(
        this->context.loop, this->peers, fetch_wait + call_allowance, message,
        [stub](auto* call, auto const* sent, auto* reply, auto finished)
        { stub->async()->Fetch(call, sent, reply, std::move(finished)); },
        [stub, self = this->shared_from_this(), vm](grpc::Status const& status,
                                                    protocol::FetchReply const& reply)
        { self->take(vm, status.ok() ? to_fetched(reply) : request::fetch_result()); });
}

void remote_token_source::take(vm_id const& vm, request::fetch_result found)
{
    if (found.status == request::fetch_status::not_found)
        return this->ask_next();
    if (found.status == request::fetch_status::found)
    {
        this->was_found = true;
        this->current = vm;
        this->last_found = this->context.time.now();
    }
    auto const done = std::exchange(this->waiting, nullptr);
    // This entry answers at once; a reader that reads on must not spin.
    bool const is_empty = !completion_store::is_worth_sending(found);
    auto const pause = vm == this->context.config.vm && is_empty ? fetch_wait : duration(0);
    run_later(*this->context.loop, pause,
              [done, found = std::move(found)]() mutable { done(std::move(found)); });
}

} // namespace lagoonladder::completion
