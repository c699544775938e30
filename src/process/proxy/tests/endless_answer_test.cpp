#include <catch2/catch.hpp>

#include "endless_server.hpp"
#include "proxy_fixture.hpp"

using namespace lagoonladder;

namespace
{

/// Maximum time of calls that must not wait for the end of an endless response; well below the
/// 300 ms after which calls to /once/ end at their deadline.
constexpr auto immediate_limit = std::chrono::milliseconds(200);
/// Maximum memory of one call in bytes: a buffered event or response, and the bytes that wait to be
/// sent to the caller.
constexpr std::size_t max_call_memory = 768 * 1024;

/// What an endpoint sends: a beginning, then `unit` repeated without end, with `pause` between two
/// units.
struct endless_case
{
    std::string name;
    /// "$" is replaced by the id of the request.
    std::string beginning;
    std::string unit;
    duration pause{};
};

std::string id_of(std::string const& request)
{
    auto const begin = request.find("Id: ") + 4;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

std::string substitute_id(std::string text, std::string const& id)
{
    for (auto position = text.find('$'); position != std::string::npos; position = text.find('$'))
        text.replace(position, 1, id);
    return text;
}

/// A proxy whose service has one endpoint that sends endless bytes.
struct endless_system
{
    endless_system(std::string const& service, endless_case const& variant)
        : server(
              fixture.context,
              [text = variant.beginning](std::string const& request)
              { return substitute_id(text, id_of(request)); },
              variant.unit, variant.pause)
    {
        this->fixture.add_endpoint(service, "bad");
        this->fixture.control.change(
            [&](proxy::traffic_view& view)
            { view.endpoints[service_name(service)][0].address = this->server.address(); });
    }

    /// Makes calls until one reaches the endless endpoint; returns the response to that one.
    call_observer call(std::string const& path)
    {
        for (int i = 0; i < 20; ++i)
        {
            auto const requests_before = this->server.requests;
            auto const start = std::chrono::steady_clock::now();
            auto const answer = this->fixture.call(path, "id-" + std::to_string(i));
            this->elapsed = std::chrono::steady_clock::now() - start;
            if (this->server.requests > requests_before)
                return answer;
        }
        FAIL("no call reached the endpoint");
        return {};
    }

    void set_route_timeouts(duration timeout)
    {
        this->fixture.control.change(
            [timeout](proxy::traffic_view& view)
            {
                auto map = view.services->map();
                for (auto& route : map.routes)
                    route.timeout = timeout;
                view.services = std::make_shared<version::service_index const>(std::move(map));
            });
    }

    /// Checks that the proxy closes all connections to the endpoint and that all calls end.
    void check_closed()
    {
        auto const request_count = this->server.requests;
        this->fixture.run_until([&] { return this->server.closed_by_peer == request_count; });
        this->fixture.run_until([&] { return this->fixture.proxy.open_calls() == 0; });
    }

    proxy_fixture fixture;
    endless_server server;
    std::chrono::steady_clock::duration elapsed{};
};

std::vector<endless_case> endless_refusals()
{
    std::string const head = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n";
    std::string const unit(4096, 'a');
    return {
        {"a long body", head + "Content-Length: 900000000000\r\n\r\n", unit},
        {"a body without a length", head + "\r\n", unit},
        {"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "3\r\nabc\r\n"},
        {"a chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n3;a=", unit},
        {"a slow body", head + "\r\n", "a", milliseconds(20)},
    };
}

std::vector<endless_case> endless_invalid_answers()
{
    std::string const unit(4096, 'a');
    std::string const head_of_other_call = "HTTP/1.1 200 OK\r\nSeal: s\r\nId: old\r\n";
    return {
        {"garbage", "\x01\x02", unit},
        {"a head without an end", "HTTP/1.1 200 OK\r\nSeal: s\r\nId: $\r\nA: ", unit},
        {"interim heads", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"answers to other calls", "", head_of_other_call + "Content-Length: 3\r\n\r\nold"},
        {"the body of another answer", head_of_other_call + "\r\n", unit},
        {"an answer without a seal", "HTTP/1.1 200 OK\r\nId: $\r\n\r\n", unit},
        {"an answer to no call", "HTTP/1.1 200 OK\r\nSeal: s\r\n\r\n", unit},
    };
}

std::string describe(endless_case const& variant, endless_system const& system)
{
    return variant.name + ": " + std::to_string(system.elapsed / milliseconds(1)) + " ms, " +
           std::to_string(system.server.sent_bytes) + " bytes sent, heap grew by " +
           std::to_string(system.server.heap_growth()) + " bytes";
}

} // namespace

TEST_CASE("an endless refusal is relayed at once")
{
    // Guards against a call that was not executed and waits until its deadline for the end of a
    // refusal's body.
    for (auto const& variant : endless_refusals())
    {
        endless_system system("once", variant);
        auto const answer = system.call("/once/x");
        INFO(describe(variant, system));
        CHECK(answer.status() == 503);
        if (!answer.heads.empty())
            CHECK(answer.heads[0].headers.find("Retry-After") != nullptr);
        CHECK(system.elapsed < immediate_limit);
        CHECK(system.server.requests == 1);
        CHECK(system.server.heap_growth() < max_call_memory);
        system.check_closed();
    }
}

TEST_CASE("a call with an endless refusal runs at another endpoint")
{
    // Guards against a retry that starts only at the end of the refusal's body.
    for (auto const& variant : endless_refusals())
    {
        endless_system system("plain", variant);
        system.fixture.add_endpoint("plain", "good");
        auto const answer = system.call("/plain/x");
        INFO(describe(variant, system));
        CHECK(answer.status() == 200);
        CHECK(answer.body.starts_with("answer to id-"));
        CHECK(system.elapsed < immediate_limit);
        system.check_closed();
    }
}

TEST_CASE("a connection is kept while the rest of a short refusal arrives")
{
    // Guards against a new connection for each call while an endpoint refuses calls.
    std::string const head = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\n";
    std::string const body = "full";
    proxy_fixture fixture;
    endless_server server(fixture.context, head, body, milliseconds(100));
    fixture.add_endpoint("once", "e1");
    fixture.control.change([&](proxy::traffic_view& view)
                           { view.endpoints[service_name("once")][0].address = server.address(); });
    CHECK(fixture.call("/once/x", "id-1").status() == 503);
    fixture.run_until([&] { return server.sent_bytes == head.size() + body.size(); });
    fixture.context.restart();
    fixture.context.run_for(std::chrono::milliseconds(30));
    CHECK(fixture.upstream.connections(server.address()) == 1);
}

TEST_CASE("endless bytes that are no valid response end an at-most-once call")
{
    // Guards against a call that is held until its deadline, and against one that is executed
    // twice.
    for (auto const& variant : endless_invalid_answers())
    {
        endless_system system("once", variant);
        auto& other = system.fixture.add_endpoint("once", "other");
        auto const answer = system.call("/once/x");
        auto const requests_after_call = other.requests.size();
        INFO(describe(variant, system));
        CHECK(answer.status() == 502);
        CHECK(answer.body.find("aaa") == std::string::npos);
        CHECK(system.elapsed < immediate_limit);
        CHECK(system.server.requests == 1);
        CHECK(system.server.heap_growth() < max_call_memory);
        system.check_closed();
        CHECK(other.requests.size() == requests_after_call);
    }
}

TEST_CASE("an idempotent call is repeated at another endpoint after endless bytes")
{
    // Guards against a failed call although another endpoint could serve it.
    for (auto const& variant : endless_invalid_answers())
    {
        endless_system system("plain", variant);
        system.fixture.add_endpoint("plain", "good");
        auto const answer = system.call("/plain/x");
        INFO(describe(variant, system));
        CHECK(answer.status() == 200);
        CHECK(answer.body.starts_with("answer to id-"));
        CHECK(system.elapsed < immediate_limit);
        CHECK(system.server.heap_growth() < max_call_memory);
        system.check_closed();
    }
}

TEST_CASE("an idempotent call is repeated at another endpoint after an endless failure response")
{
    // Guards against a failure response that is passed on until the deadline although another
    // endpoint could serve the call.
    endless_case const variant{"failure", "HTTP/1.1 500 Failed\r\nSeal: s\r\nId: $\r\n\r\n",
                               std::string(4096, 'a')};
    endless_system system("plain", variant);
    system.fixture.add_endpoint("plain", "good");
    auto const answer = system.call("/plain/x");
    INFO(describe(variant, system));
    CHECK(answer.status() == 200);
    CHECK(answer.body.starts_with("answer to id-"));
    CHECK(system.elapsed < immediate_limit);
    system.check_closed();
}

TEST_CASE("a stream with an endless event continues at another endpoint")
{
    // Guards against streams that buffer a megabyte each on VMs with 160 MB of memory.
    std::string const head =
        "HTTP/1.1 200 OK\r\nSeal: s\r\nId: $\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (auto const& variant :
         std::vector<endless_case>{{"data", head, "400\r\n" + std::string(1024, 'a') + "\r\n"},
                                   {"comments", head, "8\r\n: alive\n\r\n"}})
    {
        endless_system system("stream", variant);
        system.fixture.add_endpoint("stream", "good");
        auto const answer = system.call("/stream/x");
        INFO(describe(variant, system));
        CHECK(answer.ended);
        CHECK(answer.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
        CHECK(system.server.heap_growth() < max_call_memory);
        system.check_closed();
    }
}

TEST_CASE("a stalled stream that sends a byte now and then continues at another endpoint")
{
    // Guards against a stream without a complete event that is kept until its deadline, because
    // each byte counts as a sign of life.
    std::string const head =
        "HTTP/1.1 200 OK\r\nSeal: s\r\nId: $\r\nTransfer-Encoding: chunked\r\n\r\n";
    endless_system system("stream", {"single bytes", head, "1\r\na\r\n", milliseconds(100)});
    system.set_route_timeouts(seconds(20));
    system.fixture.add_endpoint("stream", "good");
    auto const answer = system.call("/stream/x");
    CHECK(answer.ended);
    CHECK(answer.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    system.check_closed();
}

TEST_CASE("a slow stream of complete events is not interrupted")
{
    // Guards against a sound stream that is cut because its events arrive slowly.
    std::string const head = "HTTP/1.1 200 OK\r\nSeal: s\r\nId: $\r\n\r\n";
    endless_system system("stream", {"slow events", head, "data: a\n\n", milliseconds(300)});
    system.set_route_timeouts(seconds(4));
    system.fixture.add_endpoint("stream", "good");
    auto const answer = system.call("/stream/x");
    // The stream has no end, so it is cut at its deadline, after all events until then.
    CHECK(system.elapsed >= std::chrono::seconds(4));
    CHECK(answer.body.size() >= 10 * std::string_view("data: a\n\n").size());
    CHECK_FALSE(answer.ended);
    system.check_closed();
}

TEST_CASE("a failure response does not continue a stream")
{
    // Guards against the body of a failure response that a caller reads as events of its stream.
    for (auto const& variant : std::vector<endless_case>{
             {"failure", "HTTP/1.1 500 Failed\r\nSeal: s\r\nId: $\r\n\r\n", "data: wrong\n\n"},
             {"refusal", "HTTP/1.1 404 Gone\r\nSeal: s\r\nId: $\r\n\r\n", "data: wrong\n\n"}})
    {
        endless_system system("stream", variant);
        auto& cutting_endpoint = system.fixture.add_endpoint("stream", "cut");
        cutting_endpoint.mode = endpoint_mode::cut_stream_once;
        for (int i = 0; i < 20; ++i)
        {
            auto const requests_before = cutting_endpoint.requests.size();
            auto const answer = system.fixture.call("/stream/x", "id-" + std::to_string(i));
            if (cutting_endpoint.requests.size() == requests_before || answer.status() != 200)
                continue;
            INFO(variant.name << ": " << answer.body);
            CHECK(answer.body.find("wrong") == std::string::npos);
            CHECK_FALSE(answer.ended);
        }
        CHECK(system.server.requests > 0);
        system.check_closed();
    }
}

TEST_CASE("an endless body is cut at the deadline and is held back while the caller reads nothing")
{
    // Guards against memory that grows with the bytes an endpoint sends, and against a cut response
    // that looks complete to the caller.
    std::string const head = "HTTP/1.1 200 OK\r\nSeal: s\r\nId: $\r\n";
    for (auto const& variant :
         std::vector<endless_case>{{"with a length", head + "Content-Length: 900000000000\r\n\r\n",
                                    std::string(4096, 'a')},
                                   {"without a length", head + "\r\n", std::string(4096, 'a')},
                                   {"in chunks", head + "Transfer-Encoding: chunked\r\n\r\n",
                                    "400\r\n" + std::string(1024, 'a') + "\r\n"}})
    {
        endless_system system("once", variant);
        auto const pending = system.fixture.start_call("/once/x", "id-1");
        // The caller stops reading once it has the head.
        system.fixture.run_until([&] { return !pending.observer->heads.empty(); });
        pending.call->pause();
        system.check_closed();
        INFO(describe(variant, system));
        CHECK(system.server.heap_growth() < 2 * max_call_memory);
        pending.call->resume();
        system.fixture.run_until([&] { return pending.observer->is_over(); });
        CHECK_FALSE(pending.observer->ended);
    }
}
