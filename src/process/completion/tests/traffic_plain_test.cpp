#include <catch2/catch.hpp>

#include "traffic_harness.hpp"

using namespace lagoonladder;
using namespace lagoonladder::completion;

namespace
{

/// Plain service that counts what it ran.
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
    /// Executes, then breaks the connection without an answer.
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

struct cluster_of_two
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

// Guards against a second execution when a caller resends through several entries.
TEST_CASE("a booking runs once over resends at two entries at once")
{
    cluster_of_two two;
    booking_endpoint one(two.cluster, "booking-1");
    booking_endpoint other(two.cluster, "booking-2");
    one.delay_ms = other.delay_ms = 50;
    std::vector<std::thread> callers;
    std::mutex mutex;
    std::set<std::string> bodies;
    for (int i = 0; i < 8; ++i)
        callers.emplace_back(
            [&, i]
            {
                auto const answer = book(i % 2 ? two.first : two.second, "permit-17");
                std::lock_guard const lock(mutex);
                bodies.insert(answer ? std::to_string(answer->status) + answer->body : "none");
            });
    for (auto& caller : callers)
        caller.join();
    CHECK(one.booked + other.booked == 1);
    CHECK(bodies == std::set<std::string>{"200{\"booking\":1}"});
    CHECK((one.authorization + other.authorization).empty());
}

// Guards against a second execution after an answer that got lost.
TEST_CASE("a booking whose endpoint dies after execution is unknown and never runs again")
{
    cluster_of_two two;
    booking_endpoint one(two.cluster, "booking-1");
    one.dies_after_execution = true;
    auto const lost = book(two.first, "permit-18");
    REQUIRE(lost);
    CHECK(lost->status == 504);
    CHECK(executed(lost) == "unknown");
    one.dies_after_execution = false;
    auto const resent = book(two.second, "permit-18");
    CHECK(executed(resent) == "unknown");
    CHECK(one.booked == 1);
    auto const location = lost->get_header_value("Location");
    auto const found = two.second.client().Get(location, key_header());
    REQUIRE(found);
    CHECK(nlohmann::json::parse(found->body)["state"] == "unknown");
}

// Guards against a final answer that is held back until the deadline although the
// entry that sent the booking is gone.
TEST_CASE("a booking sent by an entry that is gone is unknown at once")
{
    cluster_of_two two;
    booking_endpoint one(two.cluster, "booking-1");
    auto const now = two.first.time.wall_now();
    auto const attempt = lagoonladder::request::make_request_id(vm_id("gone"), vm_id("entry-1"), 1);
    two.cluster.commit(lagoonladder::request::at_most_once_begin{
        {account_id("council"), service_name("booking"), idempotency_key("permit-30")},
        version::sha256_hex("POST\n/bookings\n{\"slot\":1}"),
        attempt_id(attempt.value()),
        now,
        now + seconds(60)});
    auto const begun = std::chrono::steady_clock::now();
    auto const answer = book(two.first, "permit-30", "{\"slot\":1}", "20");
    REQUIRE(answer);
    CHECK(executed(answer) == "unknown");
    CHECK(std::chrono::steady_clock::now() - begun < std::chrono::seconds(3));
    CHECK(one.booked == 0);
}

// Guards against an unknown outcome where the service itself can tell.
TEST_CASE("a booking whose answer was lost is executed when the service says so")
{
    cluster_of_two two;
    booking_endpoint one(two.cluster, "booking-1");
    one.dies_after_execution = true;
    auto text = two.cluster.state.shared()->text;
    auto const section = std::string("[service booking]\n");
    auto const place = text.find(section);
    REQUIRE(place != std::string::npos);
    text.insert(place + section.size(), "status_lookup = /status?key={key}\n");
    two.cluster.apply_configuration(text);
    auto const lost = book(two.first, "permit-31");
    REQUIRE(lost);
    CHECK(executed(lost) == "yes");
    CHECK(one.booked == 1);
    CHECK(one.looked_up == 1);
}

// Guards against dispatching, or denying an execution, without a quorum.
TEST_CASE("without a quorum a booking is unknown and is not sent")
{
    cluster_of_two two;
    booking_endpoint one(two.cluster, "booking-1");
    two.cluster.has_quorum = false;
    auto const refused = book(two.first, "permit-19");
    REQUIRE(refused);
    CHECK(refused->status == 504);
    CHECK(executed(refused) == "unknown");
    CHECK(refused->has_header("Retry-After"));
    CHECK(one.booked == 0);
    // Idempotent calls need no quorum.
    CHECK(two.first.client().Get("/services/booking/status", key_header())->status == 200);
}

// Guards against a key that can never run because a grant was committed and its
// reply was lost.
TEST_CASE("a booking whose grant was lost can be sent again")
{
    cluster_of_two two;
    booking_endpoint one(two.cluster, "booking-1");
    two.cluster.loses_next_reply = true;
    auto const lost = book(two.first, "permit-32");
    REQUIRE(lost);
    CHECK(executed(lost) == "unknown");
    CHECK(one.booked == 0);
    bool is_booked = false;
    for (int i = 0; i < 10 && !is_booked; ++i)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        auto const again = book(two.second, "permit-32");
        is_booked = again && again->status == 200;
    }
    CHECK(is_booked);
    CHECK(one.booked == 1);
}

// Guards against a planned stop that waits for a quorum on behalf of an answered call.
TEST_CASE("a call whose grant was lost is not open after its answer")
{
    cluster_of_two two;
    booking_endpoint one(two.cluster, "booking-1");
    two.cluster.is_silent_after_loss = true;
    two.cluster.loses_next_reply = true;
    auto const lost = book(two.first, "permit-33");
    REQUIRE(lost);
    CHECK(executed(lost) == "unknown");
    std::this_thread::sleep_for(milliseconds(100));
    CHECK(two.first.server->open_requests() == 0);
}

// Guards against "not executed" while a delayed attempt may still be dispatched.
TEST_CASE("a booking without an endpoint is refused by a commit")
{
    cluster_of_two two;
    auto const refused = book(two.first, "permit-20");
    REQUIRE(refused);
    CHECK(refused->status == 503);
    CHECK(executed(refused) == "no");
    CHECK(two.cluster
              .record_of(
                  {account_id("council"), service_name("booking"), idempotency_key("permit-20")})
              ->verdict == request::at_most_once_verdict::refused);
    booking_endpoint one(two.cluster, "booking-1");
    CHECK(executed(book(two.second, "permit-20")) == "no");
    CHECK(one.booked == 0);
    std::this_thread::sleep_for(seconds(std::stoi(refused->get_header_value("Retry-After"))) +
                                milliseconds(50));
    CHECK(book(two.second, "permit-20")->status == 200);
    CHECK(one.booked == 1);
}

// Guards against giving up on a booking that was surely not sent.
TEST_CASE("a booking goes to another endpoint after a refused connection")
{
    cluster_of_two two;
    booking_endpoint gone(two.cluster, "booking-1");
    gone.stop();
    booking_endpoint one(two.cluster, "booking-2");
    for (int i = 0; i < 6; ++i)
        CHECK(book(two.first, "permit-3" + std::to_string(i))->status == 200);
    CHECK(one.booked == 6);
}

// Guards against answering another request's result for a key.
TEST_CASE("a key with another body is a conflict")
{
    cluster_of_two two;
    booking_endpoint one(two.cluster, "booking-1");
    CHECK(book(two.first, "permit-21")->status == 200);
    auto const replayed = book(two.second, "permit-21");
    CHECK(replayed->body == "{\"booking\":1}");
    auto const conflict = book(two.second, "permit-21", "{\"slot\":2}");
    CHECK(conflict->status == 409);
    CHECK(one.booked == 1);
}

// Guards against waiting for another attempt beyond the deadline.
TEST_CASE("a resend of a booking in progress is told the outcome or where to find it")
{
    cluster_of_two two;
    booking_endpoint one(two.cluster, "booking-1");
    one.delay_ms = 400;
    std::thread caller([&] { CHECK(book(two.first, "permit-22")->status == 200); });
    REQUIRE(eventually([&] { return one.booked == 1; }));
    auto const early = book(two.second, "permit-22", "{\"slot\":1}", "0.1");
    CHECK(executed(early) == "unknown");
    CHECK(early->has_header("Location"));
    CHECK(book(two.second, "permit-22")->status == 200);
    caller.join();
    CHECK(one.booked == 1);
}

// Guards against a repeated key whose record was already deleted.
TEST_CASE("a booking that was created more than a day ago is refused")
{
    cluster_of_two two;
    booking_endpoint one(two.cluster, "booking-1");
    auto headers = with_key("permit-23");
    headers.emplace("X-Request-Created", "2020-01-01T00:00:00Z");
    auto const refused =
        two.first.client().Post("/services/booking/bookings", headers, "{}", "application/json");
    CHECK(refused->status == 422);
    CHECK(executed(refused) == "unknown");
    CHECK(one.booked == 0);
}

// Guards against a failing endpoint that callers of idempotent calls notice.
TEST_CASE("an idempotent call is retried on another endpoint")
{
    cluster_of_two two;
    booking_endpoint bad(two.cluster, "booking-1");
    bad.fails = true;
    booking_endpoint good(two.cluster, "booking-2");
    for (int i = 0; i < 8; ++i)
    {
        auto const answer = two.first.client().Get("/services/booking/status", key_header());
        REQUIRE(answer);
        CHECK(answer->status == 200);
    }
    CHECK(good.looked_up == 8);
}

// Guards against retries that multiply the load of an outage.
TEST_CASE("retries of idempotent calls are bounded by the budget")
{
    cluster_of_two two;
    booking_endpoint bad(two.cluster, "booking-1");
    bad.fails = true;
    for (int i = 0; i < 60; ++i)
        CHECK(two.first.client().Get("/services/booking/status", key_header())->status == 503);
    // 60 first attempts, half as many retries and the 10 that a new budget holds.
    CHECK(bad.looked_up <= 60 + 30 + 10);
    CHECK(bad.looked_up > 60);
}

// Guards against work for a caller who has gone.
TEST_CASE("an idempotent call ends when its caller has gone")
{
    cluster_of_two two;
    booking_endpoint one(two.cluster, "booking-1");
    one.delay_ms = 450;
    auto client = two.first.client();
    client.set_read_timeout(std::chrono::milliseconds(50));
    CHECK(!client.Get("/services/booking/status", key_header()));
    std::this_thread::sleep_for(milliseconds(100));
    CHECK(two.first.server->open_requests() == 0);
    CHECK(one.looked_up == 1);
}
