#include <lagoonladder/control/event_collector.hpp>

#include <future>
#include <optional>

#include <control.grpc.pb.h>

namespace lagoonladder::control
{

namespace
{

constexpr duration list_timeout = seconds(2);

severity parse_severity(std::string const& name)
{
    for (auto const level : {severity::debug, severity::info, severity::warning})
    {
        if (name == observability::to_string(level))
            return level;
    }
    return severity::error;
}

event parse_event(protocol::EventRecord const& record)
{
    event result;
    result.when = {wall_time(duration(record.when().wall_us())), record.when().counter()};
    result.vm = vm_id(record.vm());
    result.level = parse_severity(record.level());
    result.name = record.name();
    for (auto const& field : record.fields())
        result.fields.push_back({field.key(), field.value()});
    return result;
}

std::optional<std::vector<event>> list_remote(peer_channels& peers, network_address const& address,
                                              protocol::ListEventsRequest const& request)
{
    grpc::ClientContext context;
    peers.prepare(context, list_timeout);
    protocol::ListEventsReply reply;
    auto const stub = protocol::Events::NewStub(peers.channel(address));
    if (!stub->List(&context, request, &reply).ok())
        return std::nullopt;
    std::vector<event> list;
    for (auto const& record : reply.events())
        list.push_back(parse_event(record));
    return list;
}

} // namespace

collected_events collect_events(config::settings const& config,
                                observability::event_timeline const& local_events,
                                peer_channels& peers,
                                std::vector<connection::entry_record> const& entries,
                                hybrid_timestamp since, std::size_t limit)
{
    protocol::ListEventsRequest request;
    request.mutable_since()->set_wall_us(since.wall.time_since_epoch().count());
    request.mutable_since()->set_counter(since.counter);
    request.set_limit(static_cast<std::uint32_t>(limit));

    std::vector<std::pair<vm_id, std::future<std::optional<std::vector<event>>>>> calls;
    for (auto const& entry : entries)
    {
        if (entry.vm == config.vm)
            continue;
        calls.emplace_back(entry.vm, std::async(std::launch::async,
                                                [&peers, &request, address = entry.control]
                                                { return list_remote(peers, address, request); }));
    }
    collected_events result;
    std::vector<std::vector<event>> lists{local_events.list(since, limit)};
    for (auto& [vm, call] : calls)
    {
        auto list = call.get();
        if (list)
            lists.push_back(std::move(*list));
        else
            result.unreachable.push_back(vm);
    }
    result.events = observability::merge_events(lists);
    if (result.events.size() > limit)
        result.events.erase(result.events.begin(),
                            result.events.end() - static_cast<std::ptrdiff_t>(limit));
    return result;
}

} // namespace lagoonladder::control
