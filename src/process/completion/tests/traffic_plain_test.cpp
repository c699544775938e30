#include <catch2/catch.hpp>

#include "traffic_harness.hpp"

using namespace lagoonladder;
using namespace lagoonladder::completion;

namespace
{

/// Plain service that counts its executed requests.
class booking_endpoint : public test_endpoint
{
public:
    booking_endpoint(memory_cluster& cluster, std::string const& id)
        : test_endpoint(cluster, id, "booking")
    {
        this->server.Post("/bookings", [this](auto const& request, auto& response)
                          { this->book(request, response); });
        this->server.Get("/status",
                         [this](auto const&, auto& response) { this->status(response); });
        this->start();
    }
    ~booking_endpoint() { this->stop(); }

    std::atomic<int> booked = 0;
    std::atomic<int> looked_up = 0;
    std::atomic<int> delay_ms = 0;
    /// Executes the request, then breaks the connection without a response.
    std::atomic<bool> dies_after_execution = false;
    std::atomic<bool> fails = false;
    std::string authorization;

private:
    void book(httplib::Request const& request, httplib::Response& response)
    {
        ++this->booked;
        this->authorization = request.get_header_value("Authorization");
        std::this_thread::sleep_for(milliseconds(this->delay_ms));
        if (!this->dies_after_execution)
            return response.set_content(R"({"booking":)" + std::to_string(this->booked) + "}",
                                        "application/json");
        response.set_content_provider(
            10, "text/plain", [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
    }
    void status(httplib::Response& response)
    {
        ++this->looked_up;
        std::this_thread::sleep_for(milliseconds(this->delay_ms));
        response.status = this->fails ? 503 : 200;
        response.set_content("status", "text/plain");
    }
};

struct two_entry_cluster
{
    memory_cluster cluster;
    recorded_events events;
    test_entry first{cluster, events, "entry-1", "dc-1"};
    test_entry second{cluster, events, "entry-2", "dc-2"};
};

httplib::Headers with_key(std::string const& key)
{
    auto headers = key_header();
    headers.emplace("Idempotency-Key", key);
    return headers;
}

httplib::Result book(test_entry const& entry, std::string const& key,
                     std::string const& body = "{\"slot\":1}", std::string const& timeout = "2")
{
    auto headers = key.empty() ? key_header() : with_key(key);
    headers.emplace("X-Request-Timeout", timeout);
    return entry.client().Post("/services/booking/bookings", headers, body, "application/json");
}

std::string executed(httplib::Result const& result)
{
    return nlohmann::json::parse(result->body).value("executed", std::string());
}

} // namespace

// Guards against a second execution when a caller resends a request through several entries.
TEST_CASE("a booking that is resent to two entries concurrently is executed once")
{
    two_entry_cluster entries;
    booking_endpoint endpoint(entries.cluster, "booking-1");
    booking_endpoint other(entries.cluster, "booking-2");
    endpoint.delay_ms = other.delay_ms = 50;
    std::vector<std::thread> callers;
    std::mutex mutex;
    std::set<std::string> bodies;
    for (int i = 0; i < 8; ++i)
        callers.emplace_back(
            [&, i]
            {
                auto const answer = book(i % 2 ? entries.first : entries.second, "permit-17");
                std::lock_guard const lock(mutex);
                bodies.insert(answer ? std::to_string(answer->status) + answer->body : "none");
            });
    for (auto& caller : callers)
        caller.join();
    CHECK(endpoint.booked + other.booked == 1);
    CHECK(bodies == std::set<std::string>{"200{\"booking\":1}"});
    CHECK((endpoint.authorization + other.authorization).empty());
}

// Guards against a second execution after a lost response.
TEST_CASE("a booking whose endpoint fails after execution is unknown and is never executed again")
{
    two_entry_cluster entries;
    booking_endpoint endpoint(entries.cluster, "booking-1");
    endpoint.dies_after_execution = true;
    auto const lost = book(entries.first, "permit-18");
    REQUIRE(lost);
    CHECK(lost->status == 504);
    CHECK(executed(lost) == "unknown");
    endpoint.dies_after_execution = false;
    auto const resent = book(entries.second, "permit-18");
    CHECK(executed(resent) == "unknown");
    CHECK(endpoint.booked == 1);
    auto const location = lost->get_header_value("Location");
    auto const found = entries.second.client().Get(location, key_header());
    REQUIRE(found);
    CHECK(nlohmann::json::parse(found->body)["state"] == "unknown");
}

// Guards against a caller that waits until the deadline although the entry that sent the booking
// no longer runs.
TEST_CASE("a booking sent by an entry that no longer runs is unknown immediately")
{
    two_entry_cluster entries;
    booking_endpoint endpoint(entries.cluster, "booking-1");
    auto const now = entries.first.time.wall_now();
    auto const attempt = lagoonladder::request::make_request_id(vm_id("gone"), vm_id("entry-1"), 1);
    entries.cluster.commit(lagoonladder::request::at_most_once_begin{
        {account_id("council"), service_name("booking"), idempotency_key("permit-30")},
        version::sha256_hex("POST\n/bookings\n{\"slot\":1}"),
        attempt_id(attempt.value()),
        now,
        now + seconds(60)});
    auto const start_time = std::chrono::steady_clock::now();
    auto const answer = book(entries.first, "permit-30", "{\"slot\":1}", "20");
    REQUIRE(answer);
    CHECK(executed(answer) == "unknown");
    CHECK(std::chrono::steady_clock::now() - start_time < std::chrono::seconds(3));
    CHECK(endpoint.booked == 0);
}

// Guards against an unknown outcome when the service can report whether it ran the request.
TEST_CASE("a booking whose response was lost is reported as executed when the service confirms it")
{
    two_entry_cluster entries;
    booking_endpoint endpoint(entries.cluster, "booking-1");
    endpoint.dies_after_execution = true;
    auto text = entries.cluster.state.shared()->text;
    auto const section = std::string("[service booking]\n");
    auto const place = text.find(section);
    REQUIRE(place != std::string::npos);
    text.insert(place + section.size(), "status_lookup = /status?key={key}\n");
    entries.cluster.apply_configuration(text);
    auto const lost = book(entries.first, "permit-31");
    REQUIRE(lost);
    CHECK(executed(lost) == "yes");
    CHECK(endpoint.booked == 1);
    CHECK(endpoint.looked_up == 1);
}

// Guards against dispatching a request, or reporting it as not executed, without a quorum.
TEST_CASE("without a quorum a booking is unknown and is not sent")
{
    two_entry_cluster entries;
    booking_endpoint endpoint(entries.cluster, "booking-1");
    entries.cluster.has_quorum = false;
    auto const refused = book(entries.first, "permit-19");
    REQUIRE(refused);
    CHECK(refused->status == 504);
    CHECK(executed(refused) == "unknown");
    CHECK(refused->has_header("Retry-After"));
    CHECK(endpoint.booked == 0);
    // Idempotent calls need no quorum.
    CHECK(entries.first.client().Get("/services/booking/status", key_header())->status == 200);
}

// Guards against a key that can never be executed because its grant was committed but the reply
// was lost.
TEST_CASE("a booking whose grant reply was lost can be sent again")
{
    two_entry_cluster entries;
    booking_endpoint endpoint(entries.cluster, "booking-1");
    entries.cluster.loses_next_reply = true;
    auto const lost = book(entries.first, "permit-32");
    REQUIRE(lost);
    CHECK(executed(lost) == "unknown");
    CHECK(endpoint.booked == 0);
    bool is_booked = false;
    for (int i = 0; i < 10 && !is_booked; ++i)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        auto const again = book(entries.second, "permit-32");
        is_booked = again && again->status == 200;
    }
    CHECK(is_booked);
    CHECK(endpoint.booked == 1);
}

// Guards against a planned stop that waits for a quorum for a call which already has its
// response.
TEST_CASE("a call whose grant reply was lost is not open after its response")
{
    two_entry_cluster entries;
    booking_endpoint endpoint(entries.cluster, "booking-1");
    entries.cluster.is_silent_after_loss = true;
    entries.cluster.loses_next_reply = true;
    auto const lost = book(entries.first, "permit-33");
    REQUIRE(lost);
    CHECK(executed(lost) == "unknown");
    std::this_thread::sleep_for(milliseconds(100));
    CHECK(entries.first.server->open_requests() == 0);
}

// Guards against reporting "not executed" while a delayed attempt may still be dispatched.
TEST_CASE("the refusal of a booking without an endpoint is committed")
{
    two_entry_cluster entries;
    auto const refused = book(entries.first, "permit-20");
    REQUIRE(refused);
    CHECK(refused->status == 503);
    CHECK(executed(refused) == "no");
    CHECK(entries.cluster
              .record_of(
                  {account_id("council"), service_name("booking"), idempotency_key("permit-20")})
              ->verdict == request::at_most_once_verdict::refused);
    booking_endpoint endpoint(entries.cluster, "booking-1");
    CHECK(executed(book(entries.second, "permit-20")) == "no");
    CHECK(endpoint.booked == 0);
    std::this_thread::sleep_for(seconds(std::stoi(refused->get_header_value("Retry-After"))) +
                                milliseconds(50));
    CHECK(book(entries.second, "permit-20")->status == 200);
    CHECK(endpoint.booked == 1);
}

// Guards against the failure of a booking that was certainly not sent.
TEST_CASE("a booking is sent to another endpoint after a refused connection")
{
    two_entry_cluster entries;
    booking_endpoint gone(entries.cluster, "booking-1");
    gone.stop();
    booking_endpoint endpoint(entries.cluster, "booking-2");
    for (int i = 0; i < 6; ++i)
        CHECK(book(entries.first, "permit-3" + std::to_string(i))->status == 200);
    CHECK(endpoint.booked == 6);
}

// Guards against returning the result of a different request with the same key.
TEST_CASE("a key that is reused with another body is a conflict")
{
    two_entry_cluster entries;
    booking_endpoint endpoint(entries.cluster, "booking-1");
    CHECK(book(entries.first, "permit-21")->status == 200);
    auto const replayed = book(entries.second, "permit-21");
    CHECK(replayed->body == "{\"booking\":1}");
    auto const conflict = book(entries.second, "permit-21", "{\"slot\":2}");
    CHECK(conflict->status == 409);
    CHECK(endpoint.booked == 1);
}

// Guards against a resend that waits for another attempt beyond its own deadline.
TEST_CASE("a resend of a booking in progress receives the outcome or its location")
{
    two_entry_cluster entries;
    booking_endpoint endpoint(entries.cluster, "booking-1");
    endpoint.delay_ms = 400;
    std::thread caller([&] { CHECK(book(entries.first, "permit-22")->status == 200); });
    REQUIRE(eventually([&] { return endpoint.booked == 1; }));
    auto const early = book(entries.second, "permit-22", "{\"slot\":1}", "0.1");
    CHECK(executed(early) == "unknown");
    CHECK(early->has_header("Location"));
    CHECK(book(entries.second, "permit-22")->status == 200);
    caller.join();
    CHECK(endpoint.booked == 1);
}

// Guards against a second execution for a key whose record was already deleted.
TEST_CASE("a booking that was created more than a day ago is refused")
{
    two_entry_cluster entries;
    booking_endpoint endpoint(entries.cluster, "booking-1");
    auto headers = with_key("permit-23");
    headers.emplace("X-Request-Created", "2020-01-01T00:00:00Z");
    auto const refused = entries.first.client().Post("/services/booking/bookings", headers, "{}",
                                                     "application/json");
    CHECK(refused->status == 422);
    CHECK(executed(refused) == "unknown");
    CHECK(endpoint.booked == 0);
}

// Guards against the failure of one endpoint reaching the callers of idempotent calls.
TEST_CASE("an idempotent call is retried on another endpoint")
{
    two_entry_cluster entries;
    booking_endpoint bad(entries.cluster, "booking-1");
    bad.fails = true;
    booking_endpoint good(entries.cluster, "booking-2");
    for (int i = 0; i < 8; ++i)
    {
        auto const answer = entries.first.client().Get("/services/booking/status", key_header());
        REQUIRE(answer);
        CHECK(answer->status == 200);
    }
    CHECK(good.looked_up == 8);
}

// Guards against retries that multiply the load of an outage.
TEST_CASE("retries of idempotent calls are bounded by the budget")
{
    two_entry_cluster entries;
    booking_endpoint bad(entries.cluster, "booking-1");
    bad.fails = true;
    for (int i = 0; i < 60; ++i)
        CHECK(entries.first.client().Get("/services/booking/status", key_header())->status == 503);
    // 60 first attempts, half as many retries and the 10 that a new budget holds.
    CHECK(bad.looked_up <= 60 + 30 + 10);
    CHECK(bad.looked_up > 60);
}

// Guards against further work for a caller that has disconnected.
TEST_CASE("an idempotent call ends when its caller disconnects")
{
    two_entry_cluster entries;
    booking_endpoint endpoint(entries.cluster, "booking-1");
    endpoint.delay_ms = 450;
    auto client = entries.first.client();
    client.set_read_timeout(std::chrono::milliseconds(50));
    CHECK(!client.Get("/services/booking/status", key_header()));
    std::this_thread::sleep_for(milliseconds(100));
    CHECK(entries.first.server->open_requests() == 0);
    CHECK(endpoint.looked_up == 1);
}
