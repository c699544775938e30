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
    , mark_timer(*io)
    , acknowledgement_timer(*io)
    , entry_rows(make_own_row(config, time_source))
    , endpoint_rows(make_endpoint_options(config))
    , started(time_source.now())
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
    this->mark_timer.cancel();
    this->acknowledgement_timer.cancel();
}

void gossip_driver::set_change_handler(std::function<void()> handler)
{
    this->on_change = std::move(handler);
}

void gossip_driver::set_own_status(generation current, std::uint32_t open_requests)
{
    this->own_generation = current;
    this->own_open_requests = open_requests;
}

void gossip_driver::set_pass_through(network_address const& address,
                                     std::map<account_id, double> const& demand)
{
    this->entry_rows.set_pass_through(address, demand);
}

void gossip_driver::set_voter_source(std::function<std::vector<network_address>()> source)
{
    this->voter_source = std::move(source);
}

std::vector<network_address> gossip_driver::seed_addresses() const
{
    auto addresses = this->seeds;
    if (!this->voter_source)
        return addresses;
    for (auto const& voter : this->voter_source())
    {
        if (std::find(addresses.begin(), addresses.end(), voter) == addresses.end())
            addresses.push_back(voter);
    }
    return addresses;
}

bool gossip_driver::is_leaving() const
{
    return this->entry_rows.own().state == connection::entry_state::leaving;
}

std::optional<duration> gossip_driver::time_since_heartbeat(time_point now, vm_id const& vm) const
{
    auto const status = this->entry_rows.find(now, vm);
    return status ? std::optional(status->time_since_heartbeat) : std::nullopt;
}

void gossip_driver::schedule_round()
{
    this->timer.expires_after(this->options.gossip_interval);
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
    this->entry_rows.advance_heartbeat(this->own_generation, this->own_open_requests);
    this->expire_rows();
    auto const chosen = this->entry_rows.gossip_peers(now, this->random);
    for (auto const& peer : chosen)
        this->send_request(peer.control, peer.vm.value());
    // Seeds are contacted while too few peers are known, and in a tenth of the later rounds,
    // so that the two sides of a network partition find each other again.
    if (chosen.size() < 2 || this->random.below(10) == 0)
        this->contact_seed();
    this->announced.clear();
    this->on_change();
}

void gossip_driver::contact_seed()
{
    auto const addresses = this->seed_addresses();
    if (addresses.empty())
        return;
    auto const& seed = addresses[this->next_seed++ % addresses.size()];
    if (seed != this->options.control)
        this->send_request(seed, seed.value());
}

void gossip_driver::expire_rows()
{
    auto const now = this->time.now();
    for (auto const& id : this->endpoint_rows.expire(now))
        this->events.emit(severity::warning, "endpoint.expired", {{"endpoint", id.value()}});
    for (auto const& vm : this->entry_rows.expire(now))
        this->events.emit(severity::warning, "entry.dead", {{"entry", vm.value()}});
}

void gossip_driver::send_request(network_address const& address, std::string const& peer)
{
    this->send_to(address, peer, this->make_request(), [](bool) {});
}

void gossip_driver::send_to(network_address const& address, std::string const& peer,
                            protocol::Digest const& digest, std::function<void(bool)> on_end)
{
    if (this->stopped || !this->in_flight.insert(peer).second)
        return;
    this->total_sent_bytes += digest.ByteSizeLong();
    std::shared_ptr stub = protocol::Directory::NewStub(this->peers.channel(address));
    call_async<protocol::Digest>(
        this->context, this->peers, exchange_timeout, digest,
        [stub](auto* call, auto const* sent, auto* reply, auto done)
        { stub->async()->Exchange(call, sent, reply, std::move(done)); },
        [this, stub, peer, on_end = std::move(on_end)](grpc::Status const& status,
                                                       protocol::Digest& reply)
        {
            this->in_flight.erase(peer);
            if (this->stopped)
                return;
            if (status.ok())
                this->merge(reply);
            on_end(status.ok());
        });
}

void gossip_driver::add_leaving_mark(connection::endpoint_record row, vm_id const& sender)
{
    row.state = connection::endpoint_state::leaving;
    this->acknowledger.add(this->time.now(), row.id, row.incarnation);
    this->leaving_marks.add(
        this->time.now(), {connection::mark_kind::endpoint, row.id.value(), pack_row(row)}, sender);
}

void gossip_driver::add_leaving_mark(connection::entry_record row, vm_id const& sender)
{
    row.state = connection::entry_state::leaving;
    this->leaving_marks.add(this->time.now(),
                            {connection::mark_kind::entry, row.vm.value(), pack_row(row)}, sender);
}

void gossip_driver::schedule_marks()
{
    auto const next = this->leaving_marks.next_round();
    if (this->marks_scheduled || this->stopped || !next)
        return;
    this->marks_scheduled = true;
    this->mark_timer.expires_after(std::max(*next - this->time.now(), duration(0)));
    this->mark_timer.async_wait(
        [this](asio::error_code const& problem)
        {
            this->marks_scheduled = false;
            if (problem || this->stopped)
                return;
            this->send_marks();
            this->schedule_marks();
        });
}

void gossip_driver::send_marks()
{
    auto const now = this->time.now();
    auto targets = this->entry_rows.live_peers(now);
    std::erase_if(targets, [this](auto const& vm) { return this->in_flight.contains(vm.value()); });
    for (auto const& message : this->leaving_marks.round(now, std::move(targets), this->random))
    {
        auto digest = this->make_digest();
        add_marks(message, digest);
        this->send_to(this->entry_rows.control_address(message.to), message.to.value(), digest,
                      [this, message](bool has_arrived)
                      { this->on_marks_sent(message, has_arrived); });
    }
}

void gossip_driver::on_marks_sent(connection::mark_message const& message, bool has_arrived)
{
    if (!has_arrived)
    {
        this->leaving_marks.record_failure(message);
        return this->schedule_marks();
    }
    for (auto const& mark : message.marks)
    {
        if (mark->kind == connection::mark_kind::endpoint)
            this->acknowledger.record_holder(endpoint_id(mark->id), message.to);
    }
}

protocol::Digest gossip_driver::make_digest() const
{
    protocol::Digest digest;
    digest.set_from(this->options.vm.value());
    auto const stamp = this->events.stamp();
    digest.mutable_sent()->set_wall_us(stamp.wall.time_since_epoch().count());
    digest.mutable_sent()->set_counter(stamp.counter);
    return digest;
}

protocol::Digest gossip_driver::make_request()
{
    auto const now = this->time.now();
    auto digest = this->make_digest();
    auto const endpoints = this->endpoint_rows.changed_since(now, 0);
    add_versions(this->entry_rows.digest(now), *digest.mutable_known_entries());
    add_versions(endpoints, *digest.mutable_known_endpoints());
    // The own row makes this entry known; no other entry has the rows announced here yet.
    digest.set_entries(pack_rows(std::vector{this->entry_rows.own()}));
    std::vector<connection::endpoint_record> announced_rows;
    std::copy_if(endpoints.begin(), endpoints.end(), std::back_inserter(announced_rows),
                 [this](auto const& row) { return this->announced.contains(row.id); });
    digest.set_endpoints(pack_rows(announced_rows));
    return digest;
}

protocol::Digest gossip_driver::make_reply(protocol::Digest const& received)
{
    auto const now = this->time.now();
    auto reply = this->make_digest();
    if (received.leaving_only())
    {
        add_marks(this->leaving_marks.reply_for(now, vm_id(received.from())), reply);
        return reply;
    }
    auto entries = this->entry_rows.digest(now);
    erase_known(entries, received.known_entries());
    reply.set_entries(pack_rows(entries));
    auto endpoints = this->endpoint_rows.changed_since(now, 0);
    erase_known(endpoints, received.known_endpoints());
    reply.set_endpoints(pack_rows(endpoints));
    return reply;
}

protocol::Digest gossip_driver::exchange(protocol::Digest const& received)
{
    this->merge(received);
    auto reply = this->make_reply(received);
    this->total_sent_bytes += reply.ByteSizeLong();
    return reply;
}

void gossip_driver::merge(protocol::Digest const& received)
{
    this->events.observe(
        {wall_time(duration(received.sent().wall_us())), received.sent().counter()});
    try
    {
        auto const now = this->time.now();
        vm_id const from(received.from());
        auto const entries = unpack_rows<connection::entry_record>(received.entries(),
                                                                   received.from(), this->events);
        auto const endpoints = unpack_rows<connection::endpoint_record>(
            received.endpoints(), received.from(), this->events);
        auto const entry_summary = this->entry_rows.merge(now, entries);
        auto const endpoint_summary = this->endpoint_rows.merge(now, endpoints);
        for (auto const& row : entry_summary.became_leaving)
            this->add_leaving_mark(row, from);
        for (auto const& row : endpoint_summary.became_leaving)
            this->add_leaving_mark(row, from);
        this->record_marks_known_to(from, entries, endpoints);
        if (entry_summary.self_marked_leaving)
            this->events.emit(severity::info, "entry.leaving",
                              {{"entry", this->options.vm.value()}, {"by", received.from()}});
        this->schedule_marks();
        this->on_change();
    }
    catch (nlohmann::json::exception const& problem)
    {
        this->events.emit(severity::warning, "gossip.digest_dropped",
                          {{"from", received.from()}, {"reason", problem.what()}});
    }
}

void gossip_driver::record_marks_known_to(vm_id const& peer,
                                          std::vector<connection::entry_record> const& entries,
                                          std::vector<connection::endpoint_record> const& endpoints)
{
    for (auto const& row : entries)
    {
        if (row.state == connection::entry_state::leaving)
            this->leaving_marks.record_known(peer, connection::mark_kind::entry, row.vm.value());
    }
    for (auto const& row : endpoints)
    {
        if (row.state != connection::endpoint_state::leaving)
            continue;
        this->leaving_marks.record_known(peer, connection::mark_kind::endpoint, row.id.value());
        if (this->acknowledger.contains(row.id, row.incarnation))
            this->acknowledger.record_holder(row.id, peer);
    }
}

} // namespace lagoonladder::control
