#include "content_fetcher.hpp"

#include <utility>

namespace lagoonladder::control
{

namespace
{

/// A part takes 27 ms on an otherwise idle 10 Mbit/s link.
constexpr duration part_timeout = milliseconds(400);
/// A fetch is given up after this many unsuccessful rounds through all voters.
constexpr std::size_t max_rounds = 2;

std::string describe(grpc::Status const& status, protocol::ReadContentReply const& reply)
{
    if (!status.ok())
        return status.error_message();
    return reply.found() ? "the voter sent an empty or invalid part"
                         : "the voter does not hold the content";
}

} // namespace

content_fetcher::content_fetcher(std::shared_ptr<asio::io_context> io, peer_channels& channels,
                                 leader_client& client, content_cache& local_contents,
                                 telemetry const& sinks)
    : context(std::move(io))
    , peers(channels)
    , consensus_group(client)
    , cache(local_contents)
    , events(sinks.events)
    , metrics(sinks.metrics)
    , time(sinks.time)
{
}

void content_fetcher::fetch(version::content_digest const& digest,
                            network_address const& first_voter, handler done)
{
    if (auto const cached = this->cache.find(digest))
        return done(cached);
    auto const [position, is_new] = this->fetches.try_emplace(digest);
    auto& active_fetch = position->second;
    active_fetch.handlers.push_back(std::move(done));
    if (!is_new)
        return;
    if (this->last_partial.digest == digest)
        active_fetch.bytes = std::exchange(this->last_partial, {}).bytes;
    active_fetch.voter = first_voter;
    active_fetch.started = this->time.now();
    this->request_part(digest);
}

void content_fetcher::request_part(version::content_digest const& digest)
{
    auto const& active_fetch = this->fetches.at(digest);
    protocol::ReadContentRequest request;
    request.set_digest(digest.value());
    request.set_offset(active_fetch.bytes.size());
    std::shared_ptr stub = protocol::Control::NewStub(this->peers.channel(active_fetch.voter));
    call_async<protocol::ReadContentReply>(
        this->context, this->peers, part_timeout, request,
        [stub](auto* call, auto const* sent, auto* reply, auto done)
        { stub->async()->ReadContent(call, sent, reply, std::move(done)); },
        [this, stub, digest](grpc::Status const& status, protocol::ReadContentReply& reply)
        {
            if (!this->stopped)
                this->handle_part(digest, status, reply);
        });
}

void content_fetcher::handle_part(version::content_digest const& digest, grpc::Status const& status,
                                  protocol::ReadContentReply& reply)
{
    this->count_part(status, reply);
    auto& active_fetch = this->fetches.at(digest);
    bool const has_part = status.ok() && reply.found() && !reply.part().empty() &&
                          reply.total() <= version::max_content_bytes;
    if (!has_part)
        return this->try_next_voter(digest, describe(status, reply));
    active_fetch.failures = 0;
    active_fetch.total_bytes = reply.total();
    active_fetch.bytes += reply.part();
    if (active_fetch.bytes.size() < active_fetch.total_bytes)
        return this->request_part(digest);
    this->complete_fetch(digest);
}

void content_fetcher::count_part(grpc::Status const& status,
                                 protocol::ReadContentReply const& reply)
{
    bool const is_absent = status.ok() && !reply.found();
    this->metrics.add("content_parts_fetched_total",
                      {{"outcome", is_absent ? "not_held" : call_outcome(status)}});
    this->metrics.add("content_fetched_bytes_total", {}, static_cast<double>(reply.part().size()));
}

void content_fetcher::try_next_voter(version::content_digest const& digest,
                                     std::string const& reason)
{
    auto& active_fetch = this->fetches.at(digest);
    this->events.emit(severity::warning, "content.part_missed",
                      {{"digest", digest.value()},
                       {"voter", active_fetch.voter.value()},
                       {"offset", std::to_string(active_fetch.bytes.size())},
                       {"reason", reason}});
    auto const voters = this->consensus_group.voters();
    if (voters.empty() || ++active_fetch.failures > max_rounds * voters.size())
        return this->give_up(digest);
    active_fetch.voter = voters[this->next_voter++ % voters.size()];
    this->request_part(digest);
}

void content_fetcher::give_up(version::content_digest const& digest)
{
    auto& active_fetch = this->fetches.at(digest);
    if (!active_fetch.bytes.empty())
        this->last_partial = {digest, std::move(active_fetch.bytes)};
    this->close_fetch(digest, std::nullopt);
}

void content_fetcher::complete_fetch(version::content_digest const& digest)
{
    auto& active_fetch = this->fetches.at(digest);
    auto const elapsed = this->time.now() - active_fetch.started;
    try
    {
        auto const content = version::make_packed(digest, std::move(active_fetch.bytes));
        this->events.emit(severity::info, "content.fetched",
                          {{"digest", digest.value()},
                           {"bytes", std::to_string(content.size())},
                           {"elapsed_ms", milliseconds_text(elapsed)}});
        this->cache.add(content);
        this->close_fetch(digest, content);
    }
    catch (parse_error const& problem)
    {
        this->events.emit(severity::error, "content.damaged",
                          {{"digest", digest.value()}, {"reason", problem.what()}});
        this->metrics.add("contents_damaged_total");
        this->close_fetch(digest, std::nullopt);
    }
}

void content_fetcher::close_fetch(version::content_digest const& digest,
                                  std::optional<version::packed_content> const& content)
{
    this->metrics.add("content_fetches_total", {{"outcome", content ? "complete" : "given_up"}});
    auto const closed_fetch = this->fetches.extract(digest);
    for (auto const& done : closed_fetch.mapped().handlers)
        done(content);
}

} // namespace lagoonladder::control
