#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <requests.grpc.pb.h>

#include "traffic_harness.hpp"

using namespace lagoonladder;
using namespace lagoonladder::completion;

namespace
{

struct single_entry_cluster
{
    memory_cluster cluster;
    recorded_events events;
    test_entry entry{cluster, events, "entry-1", "dc-1"};

    httplib::Result post(std::string const& body, httplib::Headers const& headers = key_header())
    {
        return this->entry.client().Post("/v1/chat/completions", headers, body, "application/json");
    }
    httplib::Result announce(std::string const& id, nlohmann::json const& body,
                             std::string const& token = "endpoint-secret")
    {
        return this->entry.client().Put("/v1/endpoints/" + id, key_header(token), body.dump(),
                                        "application/json");
    }
};

nlohmann::json parse_problem(httplib::Result const& result)
{
    REQUIRE(result);
    CHECK(result->get_header_value("Content-Type") == "application/problem+json");
    CHECK(result->has_header("Retry-After"));
    return nlohmann::json::parse(result->body);
}

connection::endpoint_record announced_record()
{
    connection::endpoint_record record;
    record.id = endpoint_id("engine-9");
    record.service = service_name("advisor");
    record.version = version_name("v1");
    record.address = network_address("127.0.0.1:9");
    record.vm = vm_id("vm-9");
    record.data_centre = data_centre_id("dc-1");
    record.zone = zone_id("dc-1");
    record.incarnation = incarnation(1);
    record.sequence = 1;
    return record;
}

} // namespace

// Guards against invalid input that stops the server, reaches an engine or is refused without a
// reason.
TEST_CASE("invalid requests are refused with their status and as not executed")
{
    single_entry_cluster fixture;
    test_engine engine(fixture.cluster, "engine-1");
    auto const check = [](httplib::Result const& result, int status)
    {
        auto const problem = parse_problem(result);
        CHECK(result->status == status);
        CHECK(problem["status"] == status);
        CHECK(problem["executed"] == "no");
    };
    check(fixture.post("{not json"), 400);
    check(fixture.post("[]"), 400);
    check(fixture.post("{\"stream\":true}"), 400);
    check(fixture.post("{\"model\":\"advisor\",\"stream\":\"yes\"}"), 400);
    check(fixture.post("{\"model\":\"nobody\"}"), 404);
    check(fixture.post(chat_body().dump(), {}), 401);
    check(fixture.post(chat_body().dump(), key_header("wrong-key")), 401);
    check(fixture.post(std::string(100'000, 'x')), 413);
    check(fixture.entry.client().Get("/nowhere"), 404);
    check(fixture.entry.client().Get("/services/nobody/x", key_header()), 404);
    check(fixture.entry.client().Get("/services/advisor/x", key_header()), 404);
    check(fixture.entry.client().Get("/services/booking/" + std::string(8000, 'a'), key_header()),
          503);
    CHECK(engine.attempts == 0);
    CHECK(!fixture.events.contains_text("wrong-key"));
    CHECK(fixture.entry.client().Get("/healthz")->status == 200);
}

// Guards against serving an older configuration after a restart.
TEST_CASE("nothing is served until the control state has been read")
{
    single_entry_cluster fixture;
    test_engine engine(fixture.cluster, "engine-1");
    fixture.cluster.is_ready = false;
    CHECK(parse_problem(fixture.post(chat_body().dump()))["executed"] == "no");
    auto headers = key_header();
    headers.emplace("Idempotency-Key", "k");
    auto const response = fixture.entry.client().Post("/services/booking/bookings", headers, "{}",
                                                      "application/json");
    CHECK(response->status == 503);
    CHECK(parse_problem(response)["executed"] == "unknown");
    CHECK(fixture.entry.client().Get("/readyz")->status == 503);
    CHECK(engine.attempts == 0);
}

// Guards against endpoints of a misspelled service that wait for requests forever.
TEST_CASE("announcements of endpoints are validated")
{
    single_entry_cluster fixture;
    nlohmann::json const record = announced_record();
    CHECK(fixture.announce("engine-9", record)->status == 200);
    CHECK(fixture.cluster.endpoints.count(endpoint_id("engine-9")) == 1);
    CHECK(fixture.announce("engine-9", record, "wrong")->status == 401);
    CHECK(fixture.announce("engine-8", record)->status == 400);
    auto unknown_service_record = record;
    unknown_service_record["service"] = "advisr";
    auto const response = fixture.announce("engine-9", unknown_service_record);
    CHECK(response->status == 422);
    CHECK(parse_problem(response)["detail"].get<std::string>().find("\"service\"") !=
          std::string::npos);
    auto incomplete_record = record;
    incomplete_record.erase("address");
    CHECK(fixture.announce("engine-9", incomplete_record)->status == 400);
    CHECK(fixture.entry.client().Delete("/v1/endpoints/engine-9", key_header("wrong"))->status ==
          401);
    CHECK(fixture.entry.client()
              .Delete("/v1/endpoints/engine-9", key_header("endpoint-secret"))
              ->status == 204);
    CHECK(fixture.cluster.endpoints.empty());
}

// Guards against callers that are directed to an entry which is about to stop.
TEST_CASE("the entry list excludes a draining entry")
{
    memory_cluster cluster;
    recorded_events events;
    test_entry first(cluster, events, "entry-1", "dc-1");
    test_entry second(cluster, events, "entry-2", "dc-2");
    auto const list = [&]
    {
        auto const answer = second.client().Get("/v1/entries?caller=office");
        CHECK(answer->get_header_value("Cache-Control") == "max-age=10");
        return nlohmann::json::parse(answer->body)["entries"];
    };
    CHECK(list().size() == 2);
    first.server->drain();
    REQUIRE(eventually([&] { return list().size() == 1; }));
    CHECK(list()[0]["vm"] == "entry-2");
    CHECK(list()[0]["address"] == second.server->address().value());
}

// Guards against a planned stop that truncates answers.
TEST_CASE("a draining entry finishes its requests before it stops")
{
    single_entry_cluster fixture;
    test_engine engine(fixture.cluster, "engine-1");
    engine.token_delay_us = 20'000;
    received_stream stream;
    std::thread caller([&] { stream = read_completion(fixture.entry, chat_body()); });
    REQUIRE(eventually([&] { return engine.attempts == 1; }));
    fixture.entry.server->drain();
    CHECK(fixture.entry.server->open_requests() == 1);
    CHECK(read_completion(fixture.entry, chat_body()).is_done);
    // The daemon stops its server only when no request is open.
    REQUIRE(fixture.entry.server->wait_until_idle(seconds(10)));
    fixture.entry.server->stop();
    caller.join();
    CHECK(stream.text == expected_text(0, 20));
    CHECK(stream.is_done);
    CHECK(fixture.entry.server->open_requests() == 0);
}

// Guards against a stop that truncates the answers of requests which arrived after the number of
// open requests was last checked.
TEST_CASE("an entry that closes its connections finishes the answers it has started")
{
    single_entry_cluster fixture;
    test_engine engine(fixture.cluster, "engine-1");
    engine.token_delay_us = 20'000;
    received_stream stream;
    std::thread caller([&] { stream = read_completion(fixture.entry, chat_body()); });
    REQUIRE(eventually([&] { return engine.attempts == 1; }));
    fixture.entry.server->drain();
    CHECK_FALSE(fixture.entry.server->has_closed_connections());
    fixture.entry.server->close_connections();
    REQUIRE(eventually([&] { return fixture.entry.server->has_closed_connections(); }));
    fixture.entry.server->stop();
    caller.join();
    CHECK(stream.text == expected_text(0, 20));
    CHECK(stream.is_done);
}

// Guards against two daemons that share a port without an error.
TEST_CASE("a port in use is reported as an error with its address")
{
    single_entry_cluster fixture;
    auto config = fixture.entry.config;
    config.http = fixture.entry.server->address();
    traffic_server other(config, fixture.entry.control, fixture.events, fixture.entry.metrics,
                         fixture.entry.time, 2);
    CHECK_THROWS_WITH(other.start(), Catch::Matchers::Contains(config.http.value()) &&
                                         Catch::Matchers::Contains("in use"));
}

// Guards against calls between entries that are served without the cluster token.
TEST_CASE("a call between entries needs the cluster token")
{
    single_entry_cluster fixture;
    auto const control = fixture.cluster.entries.at(vm_id("entry-1")).control.value();
    auto const stub = protocol::Requests::NewStub(
        grpc::CreateChannel("ipv4:" + control, grpc::InsecureChannelCredentials()));
    grpc::ClientContext call;
    call.AddMetadata("cluster-token", "wrong");
    protocol::FetchReply reply;
    CHECK(stub->Fetch(&call, {}, &reply).error_code() == grpc::StatusCode::UNAUTHENTICATED);
}

// Guards against an encoded body that is reported as malformed JSON.
TEST_CASE("a body with a content encoding is refused with its reason")
{
    single_entry_cluster fixture;
    auto headers = key_header();
    headers.emplace("Content-Encoding", "zstd");
    auto const response = fixture.post(chat_body().dump(), headers);
    CHECK(parse_problem(response)["executed"] == "no");
    CHECK(response->status == 415);
}

// Guards against a stop that waits for the requests in progress.
TEST_CASE("a stop ends the requests in progress and the companion finishes them")
{
    memory_cluster cluster;
    recorded_events events;
    auto first = std::make_unique<test_entry>(cluster, events, "entry-1", "dc-1");
    test_entry second(cluster, events, "entry-2", "dc-2");
    test_engine engine(cluster, "engine-1");
    engine.token_delay_us = 100'000;
    received_stream interrupted_stream;
    std::thread caller([&] { interrupted_stream = read_completion(*first, chat_body()); });
    REQUIRE(eventually([&] { return engine.attempts == 1; }));
    std::this_thread::sleep_for(milliseconds(400));
    auto const start_time = std::chrono::steady_clock::now();
    first->server->stop();
    CHECK(std::chrono::steady_clock::now() - start_time < seconds(1));
    caller.join();
    CHECK(!interrupted_stream.is_done);
    first->crash();
    auto const stream = read_request(second, interrupted_stream.request_id, 0);
    CHECK(stream.text == expected_text(0, 20));
    CHECK(stream.is_done);
}

// Guards against a server that stops after bytes that are not HTTP or after callers that
// disconnect.
TEST_CASE("garbage and closed connections do not stop the server")
{
    single_entry_cluster fixture;
    test_engine engine(fixture.cluster, "engine-1");
    auto const address = fixture.entry.server->address().value();
    for (std::string const garbage : {"\x16\x03\x01\x02", "GET\r\n\r\n", "POST / HTTP/1.1\r\n"})
    {
        int const socket = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(std::stoi(address.substr(address.rfind(':') + 1)));
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::connect(socket, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
        CHECK(::send(socket, garbage.data(), garbage.size(), 0) > 0);
        ::close(socket);
    }
    CHECK(read_completion(fixture.entry, chat_body()).is_done);
}
