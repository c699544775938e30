#include <remote_token_source.hpp>

#include <algorithm>
#include <thread>

#include <requests.grpc.pb.h>
#include <traffic_entries.hpp>

namespace lagoonladder::daemon
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

request::fetched remote_token_source::fetch(vm_id const& vm, token_offset offset, duration wait)
{
    if (vm == this->context.config.vm)
        return this->store.read(this->id, this->account, offset, wait);
    request::fetched found;
    auto const view = this->context.control.view();
    auto const* entry = traffic_entries::find(*view, vm);
    if (!entry)
        return found;
    protocol::FetchRequest message;
    message.set_id(this->id.value());
    message.set_account(this->account.value());
    message.set_offset(offset.value());
    message.set_wait_ms(std::chrono::duration_cast<milliseconds>(wait).count());
    protocol::FetchReply reply;
    grpc::ClientContext call;
    this->peers.prepare(call, wait + call_allowance);
    auto const stub = protocol::Requests::NewStub(this->peers.channel(entry->control));
    if (!stub->Fetch(&call, message, &reply).ok())
        return found;
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

request::fetched remote_token_source::read(token_offset offset)
{
    bool was_found = !this->current.value().empty();
    while (true)
    {
        auto const view = this->context.control.view();
        for (auto const& vm : this->candidates(*view))
        {
            auto found = this->fetch(vm, offset, fetch_wait);
            if (found.status == request::fetch_status::forbidden)
                return found;
            if (found.status != request::fetch_status::found)
                continue;
            was_found = true;
            this->current = vm;
            this->last_found = this->context.time.now();
            return found;
        }
        this->current = vm_id();
        // An id that nobody knows is reported at once; one that was known may be
        // known again after a take-over.
        if (!was_found || this->context.time.now() - this->last_found > patience)
            return {};
        std::this_thread::sleep_for(pause_between_rounds);
    }
}

} // namespace lagoonladder::daemon
