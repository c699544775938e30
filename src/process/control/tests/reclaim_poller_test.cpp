#include <atomic>
#include <thread>

#include <catch2/catch.hpp>
#include <httplib.h>

#include <lagoonladder/control/control_plane.hpp>

#include "reclaim_poller.hpp"

using namespace lagoonladder;
using namespace lagoonladder::control;

namespace
{

/// Cloud API that returns a fixed list of notices.
class notice_server
{
public:
    explicit notice_server(std::string body)
    {
        this->server.Get("/v1/notices", [body = std::move(body)](auto const&, auto& response)
                         { response.set_content(body, "application/json"); });
        this->port = this->server.bind_to_any_port("127.0.0.1");
        this->thread = std::thread([this] { this->server.listen_after_bind(); });
    }

    ~notice_server()
    {
        this->server.stop();
        this->thread.join();
    }

    network_address address() const
    {
        return network_address("127.0.0.1:" + std::to_string(this->port));
    }

private:
    httplib::Server server;
    int port = 0;
    std::thread thread;
};

} // namespace

TEST_CASE("the notices of the cloud API are parsed")
{
    // Guards against notices that are lost after the fetch: a list that was read from a destroyed
    // JSON document was empty.
    notice_server const server(R"({"notices":[
        {"vm":"vm-1","zone":"","deadline_us":1796354345738505},
        {"vm":"","zone":"zone-1","deadline_us":1796354345738506}]})");
    auto const notices = http_cloud_api(server.address()).notices();
    REQUIRE(notices.size() == 2);
    CHECK(notices[0].vm == vm_id("vm-1"));
    CHECK(notices[0].deadline == wall_time(duration(1796354345738505)));
    CHECK(notices[1].zone == zone_id("zone-1"));
}

TEST_CASE("an unreadable list of notices is an error")
{
    // Guards against an unreadable response that is taken for a list without notices.
    notice_server const server(R"({"notes":[]})");
    CHECK_THROWS_AS(http_cloud_api(server.address()).notices(), control_error);
}

TEST_CASE("an endless list of notices is an error")
{
    // Guards against a cloud API whose endless response fills the memory of the VM.
    constexpr std::size_t all_bytes = 64 * 1024 * 1024;
    std::atomic<std::size_t> sent = 0;
    httplib::Server server;
    server.Get("/v1/notices",
               [&](auto const&, auto& response)
               {
                   response.set_chunked_content_provider("application/json",
                                                         [&](std::size_t, httplib::DataSink& sink)
                                                         {
                                                             std::string const part(64 * 1024, ' ');
                                                             sent += part.size();
                                                             if (sent >= all_bytes)
                                                                 sink.done();
                                                             return sink.write(part.data(),
                                                                               part.size());
                                                         });
               });
    auto const port = server.bind_to_any_port("127.0.0.1");
    std::thread thread([&] { server.listen_after_bind(); });
    network_address const address("127.0.0.1:" + std::to_string(port));
    CHECK_THROWS_AS(http_cloud_api(address).notices(), control_error);
    server.stop();
    thread.join();
    CHECK(sent < all_bytes / 2);
}
