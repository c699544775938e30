#include "gossip_driver.hpp"

#include <algorithm>
#include <iterator>

#include <control.grpc.pb.h>

#include "gossip_rows.hpp"

namespace lagoonladder::control
{

namespace
{

constexpr duration exchange_timeout = milliseconds(800);
constexpr duration urgent_interval = milliseconds(250);

/// Each receiver of news passes it on, so a part of a large system is enough.
constexpr std::size_t max_news_peers = 16;

connection::entry_record make_own_row(config::settings const& config, clock const& time_source)
{
    connection::entry_record row;
    row.vm = config.vm;
    row.data_centre = config.data_centre;
    row.zone = config.zone;
    row.http = config.http;
    row.control = config.control;
    row.has_disk = !config.data_folder.empty();
    row.incarnation =
        incarnation(static_cast<std::uint64_t>(time_source.wall_now().time_since_epoch().count()));
    return row;
}

connection::endpoint_directory_options make_endpoint_options(config::settings const& config)
{
    connection::endpoint_directory_options options;
    options.lease = config.endpoint_lease;
    return options;
}

} // namespace

gossip_driver::gossip_driver(std::shared_ptr<asio::io_context> io, config::settings const& config,
                             peer_channels& channels, observability::event_timeline& log,
                             clock const& time_source, random_source& random_numbers)
    : context(io)
    , options(config)
    , peers(channels)
    , events(log)
    , time(time_source)
    , random(random_numbers)
    , timer(*io)
    , entry_rows(make_own_row(config, time_source))
    , endpoint_rows(make_endpoint_options(config))
    , seeds(config.seeds)
{
}

void gossip_driver::start()
{
    this->round();
    this->schedule_round();
}

void gossip_driver::stop()
{
    this->stopped = true;
    this->timer.cancel();
}

void gossip_driver::set_change_handler(std::function<void()> handler)
{
    this->on_change = std::move(handler);
}

void gossip_driver::set_own_figures(generation current, std::uint32_t open_requests)
{
    this->own_generation = current;
    this->own_requests = open_requests;
}

void gossip_driver::set_pass_through(network_address const& address,
                                     std::map<account_id, double> const& demand)
{
    this->entry_rows.set_pass_through(address, demand);
}

bool gossip_driver::is_leaving() const
{
    return this->entry_rows.own().state == connection::entry_state::leaving;
}

void gossip_driver::schedule_round()
{
    // One in so many digests is lost; a leaving mark is repeated for a time so
    // that it is everywhere within its bound.
    auto const now = this->time.now();
    auto const interval = this->options.gossip_interval;
    auto span = this->endpoint_rows.is_urgent(now) ? std::min(urgent_interval, interval) : interval;
    // News call this too. Without a bound, frequent news would put off the heartbeats.
    if (this->last_full_round)
        span = std::clamp(*this->last_full_round + interval - now, duration(0), span);
    this->timer.expires_after(span);
    this->timer.async_wait(
        [this](asio::error_code const& problem)
        {
            if (problem || this->stopped)
                return;
            this->round();
            this->schedule_round();
        });
}

void gossip_driver::round()
{
    auto const now = this->time.now();
    auto const is_due =
        !this->last_full_round || now - *this->last_full_round >= this->options.gossip_interval;
    if (is_due)
        return this->full_round(now);
    for (auto const& peer : this->entry_rows.gossip_peers(now, this->random))
        this->send_to(peer.control, peer.vm.value(), digest_scope::leaving);
}

void gossip_driver::full_round(time_point now)
{
    this->last_full_round = now;
    this->entry_rows.beat(this->own_generation, this->own_requests);
    this->report_expired();
    auto const chosen = this->entry_rows.gossip_peers(now, this->random);
    for (auto const& peer : chosen)
        this->send_to(peer.control, peer.vm.value(), digest_scope::all);
    // Seeds are asked while too few peers are known, and now and then later, so
    // that two halves of a system that lost each other meet again.
    bool const use_seed =
        !this->seeds.empty() && (chosen.size() < 2 || this->random.below(10) == 0);
    if (use_seed)
    {
        auto const& seed = this->seeds[this->next_seed++ % this->seeds.size()];
        if (seed != this->options.control)
            this->send_to(seed, seed.value(), digest_scope::all);
    }
    this->announced.clear();
    this->on_change();
}

void gossip_driver::report_expired()
{
    auto const now = this->time.now();
    for (auto const& id : this->endpoint_rows.expire(now))
        this->events.emit(severity::warning, "endpoint.expired", {{"endpoint", id.value()}});
    for (auto const& vm : this->entry_rows.expire(now))
        this->events.emit(severity::warning, "entry.dead", {{"entry", vm.value()}});
}

void gossip_driver::send_to(network_address const& address, std::string const& peer,
                            digest_scope scope)
{
    auto& state = this->progress[peer];
    if (state.in_flight || this->stopped)
        return;
    state.in_flight = true;
    auto const sent_version = this->endpoint_rows.version();
    auto const digest = this->make_request(peer, scope);
    this->bytes += digest.ByteSizeLong();
    std::shared_ptr stub = protocol::Directory::NewStub(this->peers.channel(address));
    call_async<protocol::Digest>(
        this->context, this->peers, exchange_timeout, digest,
        [stub](auto* call, auto const* sent, auto* reply, auto done)
        { stub->async()->Exchange(call, sent, reply, std::move(done)); },
        [this, stub, peer, scope, sent_version](grpc::Status const& status, protocol::Digest& reply)
        {
            auto& peer_state = this->progress[peer];
            peer_state.in_flight = false;
            if (this->stopped || !status.ok())
                return;
            if (scope == digest_scope::leaving)
                peer_state.sent_leaving_version = sent_version;
            this->merge(reply);
        });
}

void gossip_driver::send_news()
{
    // A leaving mark has to be everywhere within seconds, so it does not wait
    // for the next round.
    auto targets = this->entry_rows.live(this->time.now());
    for (std::size_t sent = 0; sent < max_news_peers && !targets.empty(); ++sent)
    {
        auto const pick = this->random.below(targets.size());
        std::swap(targets[pick], targets.back());
        if (targets.back().vm != this->options.vm)
            this->send_to(targets.back().control, targets.back().vm.value(), digest_scope::leaving);
        targets.pop_back();
    }
    this->schedule_round();
    this->on_change();
}

protocol::Digest gossip_driver::make_digest(digest_scope scope) const
{
    protocol::Digest digest;
    digest.set_from(this->options.vm.value());
    auto const stamp = this->events.stamp();
    digest.mutable_sent()->set_wall_us(stamp.wall.time_since_epoch().count());
    digest.mutable_sent()->set_counter(stamp.counter);
    digest.set_leaving_only(scope == digest_scope::leaving);
    return digest;
}

protocol::Digest gossip_driver::make_request(std::string const& peer, digest_scope scope)
{
    auto const now = this->time.now();
    auto digest = this->make_digest(scope);
    if (scope == digest_scope::leaving)
    {
        this->add_leaving_rows(digest, peer);
        return digest;
    }
    auto const endpoints = this->endpoint_rows.changed_since(now, 0);
    add_versions(this->entry_rows.digest(now), *digest.mutable_known_entries());
    add_versions(endpoints, *digest.mutable_known_endpoints());
    // The own row makes this entry known; rows announced here are at no other entry yet.
    digest.set_entries(pack(std::vector{this->entry_rows.own()}));
    std::vector<connection::endpoint_record> first_hand;
    std::copy_if(endpoints.begin(), endpoints.end(), std::back_inserter(first_hand),
                 [this](auto const& row) { return this->announced.contains(row.id); });
    digest.set_endpoints(pack(first_hand));
    return digest;
}

protocol::Digest gossip_driver::make_reply(protocol::Digest const& received)
{
    if (received.leaving_only())
    {
        auto reply = this->make_digest(digest_scope::leaving);
        this->add_leaving_rows(reply, received.from());
        this->progress[received.from()].sent_leaving_version = this->endpoint_rows.version();
        return reply;
    }
    auto const now = this->time.now();
    auto reply = this->make_digest(digest_scope::all);
    auto entries = this->entry_rows.digest(now);
    erase_known(entries, received.known_entries());
    reply.set_entries(pack(entries));
    auto endpoints = this->endpoint_rows.changed_since(now, 0);
    erase_known(endpoints, received.known_endpoints());
    reply.set_endpoints(pack(endpoints));
    return reply;
}

void gossip_driver::add_leaving_rows(protocol::Digest& digest, std::string const& peer)
{
    auto const now = this->time.now();
    auto entries = this->entry_rows.digest(now);
    keep_leaving(entries);
    digest.set_entries(pack(entries));
    auto rows = this->endpoint_rows.changed_since(now, this->progress[peer].sent_leaving_version);
    keep_leaving(rows);
    digest.set_endpoints(pack(rows));
}

protocol::Digest gossip_driver::exchange(protocol::Digest const& received)
{
    this->merge(received);
    auto reply = this->make_reply(received);
    this->bytes += reply.ByteSizeLong();
    return reply;
}

void gossip_driver::merge(protocol::Digest const& received)
{
    this->events.observe(
        {wall_time(duration(received.sent().wall_us())), received.sent().counter()});
    try
    {
        auto const now = this->time.now();
        auto const entries = this->entry_rows.merge(
            now,
            unpack<connection::entry_record>(received.entries(), received.from(), this->events));
        auto const endpoints = this->endpoint_rows.merge(
            now, unpack<connection::endpoint_record>(received.endpoints(), received.from(),
                                                     this->events));
        if (entries.self_marked_leaving)
            this->events.emit(severity::info, "entry.leaving",
                              {{"entry", this->options.vm.value()}, {"by", received.from()}});
        if (entries.has_new_leaving || endpoints.has_new_leaving || entries.self_marked_leaving)
            this->send_news();
        else
            this->on_change();
    }
    catch (nlohmann::json::exception const& problem)
    {
        this->events.emit(severity::warning, "gossip.digest_dropped",
                          {{"from", received.from()}, {"reason", problem.what()}});
    }
}

connection::directory_result gossip_driver::announce(connection::endpoint_record record)
{
    using connection::directory_result;
    auto const id = record.id;
    auto const service = record.service;
    auto const version = record.version;
    auto const result = this->endpoint_rows.announce(this->time.now(), std::move(record));
    this->announced.insert(id);
    if (result == directory_result::added)
        this->events.emit(
            severity::info, "endpoint.announced",
            {{"endpoint", id.value()}, {"service", service.value()}, {"version", version.value()}});
    if (result == directory_result::full)
        this->events.emit(severity::error, "endpoint.directory_full", {{"endpoint", id.value()}});
    if (result == directory_result::marked_leaving)
    {
        this->events.emit(severity::info, "endpoint.leaving", {{"endpoint", id.value()}});
        this->send_news();
    }
    else
    {
        this->on_change();
    }
    return result;
}

void gossip_driver::remove(endpoint_id const& id)
{
    auto const result = this->endpoint_rows.remove(this->time.now(), id);
    if (result == connection::directory_result::not_found)
        return;
    this->events.emit(severity::info, "endpoint.removed", {{"endpoint", id.value()}});
    this->send_news();
}

void gossip_driver::set_leaving(vm_id const& vm)
{
    auto const now = this->time.now();
    connection::reclaim_notice notice;
    notice.vm = vm;
    notice.deadline = now + this->options.drain_timeout;
    bool news = !this->endpoint_rows.apply(now, notice).empty();
    if (this->entry_rows.set_leaving(now, vm) == connection::entry_result::marked_leaving)
    {
        this->events.emit(severity::info, "entry.leaving", {{"entry", vm.value()}});
        news = true;
    }
    if (news)
        this->send_news();
}

void gossip_driver::apply_notices(std::vector<platform_notice> const& notices)
{
    auto const now = this->time.now();
    bool news = false;
    for (auto const& received : notices)
    {
        connection::reclaim_notice notice;
        notice.vm = received.vm;
        notice.zone = received.zone;
        notice.deadline = now + (received.deadline - this->time.wall_now());
        // A zone notice takes the reclaimable VMs; on-demand VMs stay.
        notice.reclaimable_only = received.vm.value().empty();
        for (auto const& id : this->endpoint_rows.apply(now, notice))
        {
            news = true;
            this->events.emit(severity::warning, "endpoint.reclaimed",
                              {{"endpoint", id.value()},
                               {"vm", received.vm.value()},
                               {"zone", received.zone.value()},
                               {"deadline", format_wall_time(received.deadline)}});
        }
        if (!received.vm.value().empty() && this->entry_rows.set_leaving(now, received.vm) ==
                                                connection::entry_result::marked_leaving)
        {
            news = true;
            this->events.emit(severity::warning, "entry.reclaimed",
                              {{"entry", received.vm.value()}});
        }
    }
    if (news)
        this->send_news();
}

} // namespace lagoonladder::control
