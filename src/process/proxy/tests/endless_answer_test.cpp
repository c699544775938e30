#include <catch2/catch.hpp>

#include "endless_server.hpp"
#include "proxy_fixture.hpp"

using namespace lagoonladder;

namespace
{

/// Well below the 300 ms after which calls to /once/ end at their deadline.
constexpr auto prompt_end = std::chrono::milliseconds(200);
/// An attempt and its caller: an event or a held answer, and what waits for the caller.
constexpr std::size_t max_call_memory = 768 * 1024;

struct endless_case
{
    std::string name;
    /// "$" stands for the id of the request.
    std::string beginning;
    std::string unit;
    duration pause{};
};

std::string id_of(std::string const& request)
{
    auto const begin = request.find("Id: ") + 4;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

std::string fill_in(std::string text, std::string const& id)
{
    for (auto at = text.find('$'); at != std::string::npos; at = text.find('$'))
        text.replace(at, 1, id);
    return text;
}

/// A proxy with one endpoint of the service that sends without end.
struct endless_system
{
    endless_system(std::string const& service, endless_case const& one)
        : server(
              system.context,
              [text = one.beginning](std::string const& request)
              { return fill_in(text, id_of(request)); },
              one.unit, one.pause)
    {
        this->system.add_endpoint(service, "bad");
        this->system.control.change(
            [&](proxy::traffic_view& view)
            { view.endpoints[service_name(service)][0].address = this->server.address(); });
    }

    /// Makes calls until one has been at the endless endpoint; returns the answer to that one.
    call_observer call(std::string const& path)
    {
        for (int i = 0; i < 20; ++i)
        {
            auto const before = this->server.requests;
            auto const began = std::chrono::steady_clock::now();
            auto const answer = this->system.call(path, "id-" + std::to_string(i));
            this->elapsed = std::chrono::steady_clock::now() - began;
            if (this->server.requests > before)
                return answer;
        }
        FAIL("no call reached the endpoint");
        return {};
    }

    void check_closed()
    {
        auto const all = this->server.requests;
        this->system.run_until([&] { return this->server.closed_by_peer == all; });
        this->system.run_until([&] { return this->system.proxy.open_calls() == 0; });
    }

    proxy_fixture system;
    endless_server server;
    std::chrono::steady_clock::duration elapsed{};
};

std::vector<endless_case> refusals()
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

std::vector<endless_case> bytes_without_answer()
{
    std::string const unit(4096, 'a');
    std::string const foreign = "HTTP/1.1 200 OK\r\nSeal: s\r\nId: old\r\n";
    return {
        {"garbage", "\x01\x02", unit},
        {"a head without an end", "HTTP/1.1 200 OK\r\nSeal: s\r\nId: $\r\nA: ", unit},
        {"interim heads", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"answers to other calls", "", foreign + "Content-Length: 3\r\n\r\nold"},
        {"the body of another answer", foreign + "\r\n", unit},
        {"an unsigned answer", "HTTP/1.1 200 OK\r\nId: $\r\n\r\n", unit},
        {"an answer to no call", "HTTP/1.1 200 OK\r\nSeal: s\r\n\r\n", unit},
    };
}

std::string describe(endless_case const& one, endless_system const& with)
{
    return one.name + ": " + std::to_string(with.elapsed / milliseconds(1)) + " ms, " +
           std::to_string(with.server.sent_bytes) + " bytes sent, heap grew by " +
           std::to_string(with.server.heap_growth()) + " bytes";
}

} // namespace

TEST_CASE("a refusal without end is a refusal at once")
{
    // Guards against a call that did not run and waits until its deadline for the end of a body
    // that nobody reads.
    for (auto const& one : refusals())
    {
        endless_system with("once", one);
        auto const answer = with.call("/once/x");
        INFO(describe(one, with));
        CHECK(answer.status() == 503);
        if (!answer.heads.empty())
            CHECK(answer.heads[0].headers.find("Retry-After") != nullptr);
        CHECK(with.elapsed < prompt_end);
        CHECK(with.server.requests == 1);
        CHECK(with.server.heap_growth() < max_call_memory);
        with.check_closed();
    }
}

TEST_CASE("a call that was refused without end runs at another endpoint")
{
    for (auto const& one : refusals())
    {
        endless_system with("plain", one);
        with.system.add_endpoint("plain", "good");
        auto const answer = with.call("/plain/x");
        INFO(describe(one, with));
        CHECK(answer.status() == 200);
        CHECK(answer.body.starts_with("answer to id-"));
        CHECK(with.elapsed < prompt_end);
        with.check_closed();
    }
}

TEST_CASE("the rest of a short refusal does not cost its connection")
{
    std::string const head = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\n";
    std::string const body = "full";
    proxy_fixture system;
    endless_server server(system.context, head, body, milliseconds(100));
    system.add_endpoint("once", "e1");
    system.control.change([&](proxy::traffic_view& view)
                          { view.endpoints[service_name("once")][0].address = server.address(); });
    CHECK(system.call("/once/x", "id-1").status() == 503);
    system.run_until([&] { return server.sent_bytes == head.size() + body.size(); });
    system.context.restart();
    system.context.run_for(std::chrono::milliseconds(30));
    CHECK(system.upstream.connections(server.address()) == 1);
}

TEST_CASE("bytes without end that are no answer end a call that may run once")
{
    // Guards against a call that is held until its deadline, and against one that runs twice.
    for (auto const& one : bytes_without_answer())
    {
        endless_system with("once", one);
        auto& other = with.system.add_endpoint("once", "other");
        auto const answer = with.call("/once/x");
        auto const reached = other.requests.size();
        INFO(describe(one, with));
        CHECK(answer.status() == 502);
        CHECK(answer.body.find("aaa") == std::string::npos);
        CHECK(with.elapsed < prompt_end);
        CHECK(with.server.requests == 1);
        CHECK(with.server.heap_growth() < max_call_memory);
        with.check_closed();
        CHECK(other.requests.size() == reached);
    }
}

TEST_CASE("an idempotent call goes elsewhere from bytes without end")
{
    for (auto const& one : bytes_without_answer())
    {
        endless_system with("plain", one);
        with.system.add_endpoint("plain", "good");
        auto const answer = with.call("/plain/x");
        INFO(describe(one, with));
        CHECK(answer.status() == 200);
        CHECK(answer.body.starts_with("answer to id-"));
        CHECK(with.elapsed < prompt_end);
        CHECK(with.server.heap_growth() < max_call_memory);
        with.check_closed();
    }
}

TEST_CASE("an idempotent call goes elsewhere from a failure without end")
{
    // Guards against a failure whose bytes are passed on until the deadline though another
    // endpoint could answer.
    endless_case const one{"failure", "HTTP/1.1 500 Failed\r\nSeal: s\r\nId: $\r\n\r\n",
                           std::string(4096, 'a')};
    endless_system with("plain", one);
    with.system.add_endpoint("plain", "good");
    auto const answer = with.call("/plain/x");
    INFO(describe(one, with));
    CHECK(answer.status() == 200);
    CHECK(answer.body.starts_with("answer to id-"));
    CHECK(with.elapsed < prompt_end);
    with.check_closed();
}

TEST_CASE("an event without end breaks the stream off")
{
    // Guards against streams that take a megabyte each on VMs with 160 MB.
    std::string const head =
        "HTTP/1.1 200 OK\r\nSeal: s\r\nId: $\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (auto const& one :
         std::vector<endless_case>{{"data", head, "400\r\n" + std::string(1024, 'a') + "\r\n"},
                                   {"comments", head, "8\r\n: alive\n\r\n"}})
    {
        endless_system with("stream", one);
        with.system.add_endpoint("stream", "good");
        auto const answer = with.call("/stream/x");
        INFO(describe(one, with));
        CHECK(answer.ended);
        CHECK(answer.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
        CHECK(with.server.heap_growth() < max_call_memory);
        with.check_closed();
    }
}

TEST_CASE("a failure does not continue a stream")
{
    // Guards against the text of a failure that a caller reads as events of its stream.
    for (auto const& one : std::vector<endless_case>{
             {"failure", "HTTP/1.1 500 Failed\r\nSeal: s\r\nId: $\r\n\r\n", "data: wrong\n\n"},
             {"refusal", "HTTP/1.1 404 Gone\r\nSeal: s\r\nId: $\r\n\r\n", "data: wrong\n\n"}})
    {
        endless_system with("stream", one);
        auto& cut = with.system.add_endpoint("stream", "cut");
        cut.mode = endpoint_mode::cut_stream_once;
        for (int i = 0; i < 20; ++i)
        {
            auto const sent = cut.requests.size();
            auto const answer = with.system.call("/stream/x", "id-" + std::to_string(i));
            if (cut.requests.size() == sent || answer.status() != 200)
                continue;
            INFO(one.name << ": " << answer.body);
            CHECK(answer.body.find("wrong") == std::string::npos);
            CHECK_FALSE(answer.ended);
        }
        CHECK(with.server.requests > 0);
        with.check_closed();
    }
}

TEST_CASE("a body without end is cut at the deadline and waits for its caller")
{
    // Guards against memory that grows with the bytes of an endpoint, and against an answer
    // that looks complete.
    std::string const head = "HTTP/1.1 200 OK\r\nSeal: s\r\nId: $\r\n";
    for (auto const& one :
         std::vector<endless_case>{{"with a length", head + "Content-Length: 900000000000\r\n\r\n",
                                    std::string(4096, 'a')},
                                   {"without a length", head + "\r\n", std::string(4096, 'a')},
                                   {"in chunks", head + "Transfer-Encoding: chunked\r\n\r\n",
                                    "400\r\n" + std::string(1024, 'a') + "\r\n"}})
    {
        endless_system with("once", one);
        auto const pending = with.system.start_call("/once/x", "id-1");
        // The caller takes no more once the head is there.
        with.system.run_until([&] { return !pending.observer->heads.empty(); });
        pending.call->pause();
        with.check_closed();
        INFO(describe(one, with));
        CHECK(with.server.heap_growth() < 2 * max_call_memory);
        pending.call->resume();
        with.system.run_until([&] { return pending.observer->is_over(); });
        CHECK_FALSE(pending.observer->ended);
    }
}
