#include <catch2/catch.hpp>

#include <cstdio>
#include <fstream>
#include <unistd.h>

#include <lagoonladder/config/settings_watcher.hpp>

using namespace lagoonladder;

namespace
{

std::string text_with_seed(std::string const& seed)
{
    return "[vm]\nid = entry-1\ndata_centre = d\n[listen]\nhttp = 127.0.0.1:1\n"
           "control = 127.0.0.1:2\n[security]\noperator_token = o\nendpoint_token = e\n"
           "cluster_token = c\n[peers]\nseeds = " +
           seed + "\n";
}

class temporary_file
{
public:
    ~temporary_file() { std::remove(this->path.c_str()); }

    void write(std::string const& text) const { std::ofstream(this->path) << text; }

    std::string const path = "/tmp/lagoonladder-settings-" + std::to_string(::getpid()) + ".ini";
};

} // namespace

TEST_CASE("changed settings are applied and invalid ones are ignored")
{
    // Guards against a reload that stops the daemon or loses its settings.
    temporary_file const file;
    file.write(text_with_seed("127.0.0.1:3"));
    null_event_sink events;
    config::settings_watcher watcher(file.path, config::load_settings(file.path), events);
    CHECK_FALSE(watcher.poll(true));
    file.write(text_with_seed("nonsense"));
    CHECK_FALSE(watcher.poll(false));
    file.write(text_with_seed("127.0.0.1:4"));
    auto const changed = watcher.poll(false);
    REQUIRE(changed);
    CHECK(changed->seeds == std::vector{network_address("127.0.0.1:4")});
    CHECK_FALSE(watcher.poll(false));
    std::remove(file.path.c_str());
    CHECK_FALSE(watcher.poll(true));
}
