#include <catch2/catch.hpp>

#include "traffic_harness.hpp"

using namespace lagoonladder;
using namespace lagoonladder::completion;

namespace
{

/// Endpoint of a plain service that counts the calls it executes.
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

    std::atomic<int> bookings = 0;
    std::atomic<int> status_calls = 0;
    std::atomic<int> delay_ms = 0;
    /// Whether bookings are executed and the connection then breaks without a response.
    std::atomic<bool> breaks_after_execution = false;
    /// Whether status calls receive status 503.
    std::atomic<bool> is_status_failing = false;
    /// Authorization header of the latest booking.
    std::string authorization;

private:
    void book(httplib::Request const& request, httplib::Response& response)
    {
        ++this->bookings;
        this->authorization = request.get_header_value("Authorization");
        std::this_thread::sleep_for(milliseconds(this->delay_ms));
        if (!this->breaks_after_execution)
            return response.set_content(R"({"booking":)" + std::to_string(this->bookings) + "}",
                                        "application/json");
        response.set_content_provider(
            10, "text/plain", [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
    }
    void status(httplib::Response& response)
    {
        ++this->status_calls;
        std::this_thread::sleep_for(milliseconds(this->delay_ms));
        response.status = this->is_status_failing ? 503 : 200;
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
    CHECK(endpoint.bookings + other.bookings == 1);
    CHECK(bodies == std::set<std::string>{"200{\"booking\":1}"});
    CHECK((endpoint.authorization + other.authorization).empty());
}

// Guards against a second execution after a lost response.
TEST_CASE("a booking executed by a failing endpoint is never repeated and its outcome is unknown")
{
    two_entry_cluster entries;
    booking_endpoint endpoint(entries.cluster, "booking-1");
    endpoint.breaks_after_execution = true;
    auto const first_response = book(entries.first, "permit-18");
    REQUIRE(first_response);
    CHECK(first_response->status == 504);
    CHECK(executed(first_response) == "unknown");
    endpoint.breaks_after_execution = false;
    auto const second_response = book(entries.second, "permit-18");
    CHECK(executed(second_response) == "unknown");
    CHECK(endpoint.bookings == 1);
    auto const location = first_response->get_header_value("Location");
    auto const status_response = entries.second.client().Get(location, key_header());
    REQUIRE(status_response);
    CHECK(nlohmann::json::parse(status_response->body)["state"] == "unknown");
}

// Guards against a caller that waits until the deadline although the entry that sent the booking
// no longer runs.
TEST_CASE("a booking sent by an entry that no longer runs has an unknown outcome immediately")
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
    CHECK(endpoint.bookings == 0);
}

// Guards against an unknown outcome when the service can report whether it ran the request.
TEST_CASE("a booking whose response was lost is reported as executed when the service confirms it")
{
    two_entry_cluster entries;
    booking_endpoint endpoint(entries.cluster, "booking-1");
    endpoint.breaks_after_execution = true;
    auto text = entries.cluster.state.shared()->text;
    auto const section = std::string("[service booking]\n");
    auto const position = text.find(section);
    REQUIRE(position != std::string::npos);
    text.insert(position + section.size(), "status_lookup = /status?key={key}\n");
    entries.cluster.apply_configuration(text);
    auto const response = book(entries.first, "permit-31");
    REQUIRE(response);
    CHECK(executed(response) == "yes");
    CHECK(endpoint.bookings == 1);
    CHECK(endpoint.status_calls == 1);
}

// Guards against dispatching a request, or reporting it as not executed, without a quorum.
TEST_CASE("without a quorum a booking is not sent and its outcome is unknown")
{
    two_entry_cluster entries;
    booking_endpoint endpoint(entries.cluster, "booking-1");
    entries.cluster.has_quorum = false;
    auto const response = book(entries.first, "permit-19");
    REQUIRE(response);
    CHECK(response->status == 504);
    CHECK(executed(response) == "unknown");
    CHECK(response->has_header("Retry-After"));
    CHECK(endpoint.bookings == 0);
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
    auto const first_response = book(entries.first, "permit-32");
    REQUIRE(first_response);
    CHECK(executed(first_response) == "unknown");
    CHECK(endpoint.bookings == 0);
    bool is_booked = false;
    for (int i = 0; i < 10 && !is_booked; ++i)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        auto const response = book(entries.second, "permit-32");
        is_booked = response && response->status == 200;
    }
    CHECK(is_booked);
    CHECK(endpoint.bookings == 1);
}

// Guards against a planned stop that waits for a quorum for a call which already has its
// response.
TEST_CASE("a call whose grant reply was lost is not open after its response")
{
    two_entry_cluster entries;
    booking_endpoint endpoint(entries.cluster, "booking-1");
    entries.cluster.is_silent_after_loss = true;
    entries.cluster.loses_next_reply = true;
    auto const response = book(entries.first, "permit-33");
    REQUIRE(response);
    CHECK(executed(response) == "unknown");
    std::this_thread::sleep_for(milliseconds(100));
    CHECK(entries.first.server->open_requests() == 0);
}

// Guards against reporting "not executed" while a delayed attempt may still be dispatched.
TEST_CASE("the refusal of a booking without an endpoint is committed")
{
    two_entry_cluster entries;
    auto const first_response = book(entries.first, "permit-20");
    REQUIRE(first_response);
    CHECK(first_response->status == 503);
    CHECK(executed(first_response) == "no");
    CHECK(entries.cluster
              .record_of(
                  {account_id("council"), service_name("booking"), idempotency_key("permit-20")})
              ->verdict == request::at_most_once_verdict::refused);
    booking_endpoint endpoint(entries.cluster, "booking-1");
    CHECK(executed(book(entries.second, "permit-20")) == "no");
    CHECK(endpoint.bookings == 0);
    std::this_thread::sleep_for(
        seconds(std::stoi(first_response->get_header_value("Retry-After"))) + milliseconds(50));
    CHECK(book(entries.second, "permit-20")->status == 200);
    CHECK(endpoint.bookings == 1);
}

// Guards against the failure of a booking that certainly did not reach an endpoint.
TEST_CASE("a booking is sent to another endpoint after a refused connection")
{
    two_entry_cluster entries;
    booking_endpoint stopped_endpoint(entries.cluster, "booking-1");
    stopped_endpoint.stop();
    booking_endpoint endpoint(entries.cluster, "booking-2");
    for (int i = 0; i < 6; ++i)
        CHECK(book(entries.first, "permit-3" + std::to_string(i))->status == 200);
    CHECK(endpoint.bookings == 6);
}

// Guards against returning the result of a different request with the same key.
TEST_CASE("a key that is reused with another body is a conflict")
{
    two_entry_cluster entries;
    booking_endpoint endpoint(entries.cluster, "booking-1");
    CHECK(book(entries.first, "permit-21")->status == 200);
    auto const second_response = book(entries.second, "permit-21");
    CHECK(second_response->body == "{\"booking\":1}");
    auto const conflict = book(entries.second, "permit-21", "{\"slot\":2}");
    CHECK(conflict->status == 409);
    CHECK(endpoint.bookings == 1);
}

// Guards against a resend that waits for another attempt beyond its own deadline.
TEST_CASE("a resend of a booking in progress receives the outcome or its location")
{
    two_entry_cluster entries;
    booking_endpoint endpoint(entries.cluster, "booking-1");
    endpoint.delay_ms = 400;
    std::thread caller([&] { CHECK(book(entries.first, "permit-22")->status == 200); });
    REQUIRE(eventually([&] { return endpoint.bookings == 1; }));
    auto const early_response = book(entries.second, "permit-22", "{\"slot\":1}", "0.1");
    CHECK(executed(early_response) == "unknown");
    CHECK(early_response->has_header("Location"));
    CHECK(book(entries.second, "permit-22")->status == 200);
    caller.join();
    CHECK(endpoint.bookings == 1);
}

// Guards against a second execution for a key whose record was already deleted.
TEST_CASE("a booking that was created more than a day ago is refused")
{
    two_entry_cluster entries;
    booking_endpoint endpoint(entries.cluster, "booking-1");
    auto headers = with_key("permit-23");
    headers.emplace("X-Request-Created", "2020-01-01T00:00:00Z");
    auto const response = entries.first.client().Post("/services/booking/bookings", headers, "{}",
                                                      "application/json");
    CHECK(response->status == 422);
    CHECK(executed(response) == "unknown");
    CHECK(endpoint.bookings == 0);
}

// Guards against the failure of one endpoint reaching the callers of idempotent calls.
TEST_CASE("an idempotent call is retried on another endpoint")
{
    two_entry_cluster entries;
    booking_endpoint failing_endpoint(entries.cluster, "booking-1");
    failing_endpoint.is_status_failing = true;
    booking_endpoint healthy_endpoint(entries.cluster, "booking-2");
    for (int i = 0; i < 8; ++i)
    {
        auto const answer = entries.first.client().Get("/services/booking/status", key_header());
        REQUIRE(answer);
        CHECK(answer->status == 200);
    }
    CHECK(healthy_endpoint.status_calls == 8);
}

// Guards against retries that multiply the load of an outage.
TEST_CASE("retries of idempotent calls are bounded by the budget")
{
    two_entry_cluster entries;
    booking_endpoint failing_endpoint(entries.cluster, "booking-1");
    failing_endpoint.is_status_failing = true;
    for (int i = 0; i < 60; ++i)
        CHECK(entries.first.client().Get("/services/booking/status", key_header())->status == 503);
    // 60 first attempts, half as many retries and the 10 that a new budget holds.
    CHECK(failing_endpoint.status_calls <= 60 + 30 + 10);
    CHECK(failing_endpoint.status_calls > 60);
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
    CHECK(endpoint.status_calls == 1);
}
