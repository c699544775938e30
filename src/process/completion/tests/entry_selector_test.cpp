#include <catch2/catch.hpp>

#include <entry_selector.hpp>

#include "traffic_harness.hpp"

using namespace lagoonladder;
using namespace lagoonladder::completion;

namespace
{

class stopped_clock : public clock
{
public:
    time_point now() const override { return this->current; }
    wall_time wall_now() const override { return {}; }

    time_point current{std::chrono::hours(1)};
};

connection::entry_record make_entry(char const* vm, char const* data_centre)
{
    connection::entry_record entry;
    entry.vm = vm_id(vm);
    entry.data_centre = data_centre_id(data_centre);
    return entry;
}

} // namespace

TEST_CASE("an entry that went before anyone asked for the list is not named")
{
    // Guards against a list that names an entry that went minutes ago, because it begins to observe
    // heartbeats only when a caller asks.
    memory_cluster cluster;
    memory_control_plane control(cluster, vm_id("entry-1"));
    recorded_events events;
    observability::metrics metrics;
    stopped_clock time;
    settings const config;
    traffic_context context{config,  control, events,
                            metrics, time,    std::make_shared<asio::io_context>()};
    entry_selector const selector(context);

    connection::entry_directory directory(make_entry("entry-1", "dc-1"));
    directory.merge(time.now(), make_entry("entry-2", "dc-2"));
    control_view view;
    view.entries = directory.live(time.now());
    view.directory = std::make_shared<connection::entry_directory const>(directory);
    CHECK(selector.list_for(view, "caller").size() == 2);
    CHECK(selector.companion_for(view, "key"));
    // The view of a control thread that is late still has the entry.
    time.current += seconds(7);
    CHECK(selector.list_for(view, "caller").size() == 1);
    CHECK_FALSE(selector.companion_for(view, "key"));
}
