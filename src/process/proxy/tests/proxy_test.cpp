#include <catch2/catch.hpp>

#include "proxy_fixture.hpp"

using namespace lagoonladder;

TEST_CASE("a call reaches an endpoint of its route and the response reaches the caller")
{
    // Guards against a changed target or body, and against a response of another endpoint.
    proxy_fixture system;
    auto& endpoint = system.add_endpoint("plain", "e1");
    auto const answer = system.call("/plain/x", "id-1", "body");
    CHECK(answer.status() == 200);
    CHECK(answer.body == "answer to id-1");
    REQUIRE(endpoint.requests.size() == 1);
    CHECK(endpoint.requests[0].target == "/plain/x");
    CHECK(endpoint.bodies[0] == "body");
    CHECK(*endpoint.requests[0].headers.find("Expected") == "e1");
}

TEST_CASE("calls are refused with the status of the reason")
{
    // Guards against 401 and 404 while the entry has no configuration.
    proxy_fixture system;
    CHECK(system.call("/nowhere/", "id-1").status() == 404);
    CHECK(system.call("/plain/x", "id-2").status() == 503);
    system.control.change([](proxy::traffic_view& view) { view.services.reset(); });
    CHECK(system.call("/nowhere/", "id-3").status() == 503);
}

TEST_CASE("an at-most-once call is not repeated after a cut connection")
{
    // Guards against a booking that is made twice.
    proxy_fixture system;
    auto& first = system.add_endpoint("once", "e1");
    auto& second = system.add_endpoint("once", "e2");
    first.mode = second.mode = endpoint_mode::close_without_answer;
    CHECK(system.call("/once/x", "id-1").status() == 502);
    CHECK(first.requests.size() + second.requests.size() == 1);
}

TEST_CASE("a call that an endpoint did not execute is refused as not executed")
{
    // Guards against a 502, after which the caller of an at-most-once call may not retry.
    proxy_fixture system;
    auto& endpoint = system.add_endpoint("once", "e1");
    endpoint.mode = endpoint_mode::refuse;
    auto const answer = system.call("/once/x", "id-1");
    CHECK(answer.status() == 503);
    CHECK(answer.heads[0].headers.find("Retry-After") != nullptr);
}

TEST_CASE("an idempotent call is repeated at another endpoint after a cut connection or a failure")
{
    // Guards against a failed call although another endpoint could serve it.
    for (auto const mode :
         {endpoint_mode::close_without_answer, endpoint_mode::fail, endpoint_mode::cut_answer,
          endpoint_mode::refuse, endpoint_mode::answer_without_seal, endpoint_mode::silent})
    {
        proxy_fixture system;
        auto& failing_endpoint = system.add_endpoint("plain", "bad");
        failing_endpoint.mode = mode;
        system.add_endpoint("plain", "good");
        for (int i = 0; i < 4; ++i)
        {
            auto const answer = system.call("/plain/x", "id-" + std::to_string(i));
            INFO("mode " << static_cast<int>(mode) << " call " << i);
            CHECK(answer.status() == 200);
            CHECK(answer.body == "answer to id-" + std::to_string(i));
        }
    }
}

TEST_CASE("the attempts of a call stay within its route's maximum")
{
    // Guards against one call that is sent to every failing endpoint.
    proxy_fixture system;
    std::size_t attempts = 0;
    std::vector<fake_endpoint*> endpoints;
    for (int i = 0; i < 4; ++i)
    {
        endpoints.push_back(&system.add_endpoint("plain", "e" + std::to_string(i)));
        endpoints.back()->mode = endpoint_mode::close_without_answer;
    }
    CHECK(system.call("/plain/x", "id-1").status() == 502);
    for (auto const* endpoint : endpoints)
        attempts += endpoint->requests.size();
    CHECK(attempts == 2);
}

TEST_CASE("a late response to another call is not relayed")
{
    // Guards against a response that reaches the caller of another request.
    proxy_fixture system;
    auto& endpoint = system.add_endpoint("once", "e1");
    endpoint.mode = endpoint_mode::stale_answer_first;
    CHECK(system.call("/once/x", "id-7").body == "answer to id-7");
}

TEST_CASE("a refusal of an earlier call on a kept connection does not refuse the next call")
{
    // Guards against a statement that a call was not executed although the endpoint executes it,
    // and against a second execution at another endpoint.
    proxy_fixture system;
    auto& first = system.add_endpoint("once", "e1");
    CHECK(system.call("/once/x", "id-1").status() == 200);
    first.mode = endpoint_mode::stale_refusal_first;
    CHECK(system.call("/once/x", "id-2").body == "answer to id-2");
    first.mode = endpoint_mode::stale_refusal_without_id_first;
    CHECK(system.call("/once/x", "id-3").status() == 502);
    CHECK(first.requests.size() == 3);
}

TEST_CASE("an endpoint whose address is reused gets no more calls")
{
    // Guards against further calls to the process that now has the address.
    proxy_fixture system;
    auto& endpoint = system.add_endpoint("plain", "old");
    endpoint.id = "new";
    CHECK(system.call("/plain/x", "id-1").status() == 503);
    CHECK(system.call("/plain/x", "id-2").status() == 503);
    CHECK(endpoint.requests.size() == 1);
}

TEST_CASE("a leaving endpoint gets no new call")
{
    // Guards against calls that are lost when the endpoint stops.
    proxy_fixture system;
    auto& endpoint = system.add_endpoint("plain", "e1");
    system.control.change(
        [](proxy::traffic_view& view)
        {
            for (auto& record : view.endpoints[service_name("plain")])
                record.state = connection::endpoint_state::leaving;
        });
    CHECK(system.call("/plain/x", "id-1").status() == 503);
    CHECK(endpoint.requests.empty());
}

TEST_CASE("the endpoint's work ends when the caller disconnects")
{
    // Guards against endpoints that keep working for disconnected callers.
    proxy_fixture system;
    auto& endpoint = system.add_endpoint("plain", "e1");
    endpoint.mode = endpoint_mode::silent;
    auto const pending = system.start_call("/plain/x", "id-1");
    system.run_until([&] { return !endpoint.requests.empty(); });
    pending.call->cancel();
    system.run_until([&] { return endpoint.closed_by_peer == 1; });
    system.run_until([&] { return system.proxy.open_calls() == 0; });
}

TEST_CASE("a call without a response ends at its deadline")
{
    // Guards against callers that wait for a silent endpoint without end.
    proxy_fixture system;
    auto& endpoint = system.add_endpoint("once", "e1");
    endpoint.mode = endpoint_mode::silent;
    auto const start_time = std::chrono::steady_clock::now();
    CHECK(system.call("/once/x", "id-1").status() == 504);
    auto const elapsed = std::chrono::steady_clock::now() - start_time;
    CHECK(elapsed >= std::chrono::milliseconds(290));
    CHECK(elapsed < std::chrono::milliseconds(800));
}

TEST_CASE("a broken stream continues at another endpoint without a gap")
{
    // Guards against events that are missing, repeated or merged.
    proxy_fixture system;
    auto& first = system.add_endpoint("stream", "e1");
    auto& second = system.add_endpoint("stream", "e2");
    first.mode = second.mode = endpoint_mode::cut_stream_once;
    auto const answer = system.call("/stream/x", "id-1");
    CHECK(answer.ended);
    CHECK(answer.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
}

TEST_CASE("a stream is not continued by a response that is no stream")
{
    // Guards against the text of a failure in the middle of a stream, and against a stream that
    // looks complete although its last events are missing.
    for (auto const mode : {endpoint_mode::fail, endpoint_mode::refuse, endpoint_mode::answer,
                            endpoint_mode::refusal_without_seal, endpoint_mode::answer_without_seal,
                            endpoint_mode::cut_answer, endpoint_mode::close_without_answer})
    {
        int continued = 0;
        for (int i = 0; i < 10; ++i)
        {
            proxy_fixture system;
            auto& first = system.add_endpoint("stream", "e1");
            auto& second = system.add_endpoint("stream", "e2");
            first.mode = endpoint_mode::cut_stream_once;
            second.mode = mode;
            second.is_stream = false;
            auto const answer = system.call("/stream/x", "id-" + std::to_string(i));
            if (answer.status() != 200 || second.requests.empty() ||
                second.requests.back().headers.find("Last") == nullptr)
                continue;
            ++continued;
            CHECK(answer.body == "id: 1\ndata: a\n\n");
            CHECK_FALSE(answer.ended);
        }
        CHECK(continued > 0);
    }
}

TEST_CASE("a stream that may not be resumed ends as a broken response")
{
    // Guards against a cut stream that looks complete, and against one that runs twice.
    proxy_fixture system;
    auto& endpoint = system.add_endpoint("stream-once", "e1");
    endpoint.mode = endpoint_mode::cut_stream_once;
    auto const answer = system.call("/stream-once/x", "id-1");
    CHECK_FALSE(answer.ended);
    CHECK(answer.failure == http::call_failure::broken_response);
    CHECK(endpoint.requests.size() == 1);
}

TEST_CASE("usage counts each request that has begun to run")
{
    // Guards against usage reports that count too few or too many requests.
    proxy_fixture system;
    system.add_endpoint("plain", "e1");
    system.call("/plain/x", "id-1", "", "key-1");
    system.call("/plain/x", "id-2", "", "key-1");
    CHECK(system.control.usage[account_id("account")] == 2);
}

TEST_CASE("a call that fails at two endpoints counts as two sent calls with one outcome")
{
    // Guards against exposure that is counted too low, and against the failure of one call that
    // counts twice against the version to which all its attempts are sent.
    proxy_fixture system;
    system.add_endpoint("plain", "e1").mode = endpoint_mode::fail;
    system.add_endpoint("plain", "e2").mode = endpoint_mode::fail;
    CHECK(system.call("/plain/x", "id-1").status() == 500);
    version::traffic_sample sum;
    for (auto const& sample : system.control.samples)
    {
        sum.sent += sample.sent;
        sum.requests += sample.requests;
        sum.failures += sample.failures;
        sum.open += sample.open;
    }
    CHECK(sum.sent == 2);
    CHECK(sum.requests == 1);
    CHECK(sum.failures == 1);
    CHECK(sum.open == 0);
}

TEST_CASE("a version gets only its share of the calls")
{
    // Guards against calls to a version before its first share or after its move was reversed, and
    // against refusals while only the other version has endpoints.
    proxy_fixture system;
    auto& old_version = system.add_endpoint("plain", "old");
    auto& new_version = system.add_endpoint("plain", "new");
    service_name const service("plain");
    auto const set_split = [&](double share)
    {
        system.control.change(
            [&](proxy::traffic_view& view) {
                view.splits[service] = {version_name(""), version_name("v2"), share};
            });
    };
    auto const count_new_version_calls = [&](std::string const& prefix)
    {
        auto const before = new_version.requests.size();
        for (int i = 0; i < 40; ++i)
            CHECK(system.call("/plain/x", prefix + std::to_string(i)).status() == 200);
        return new_version.requests.size() - before;
    };
    system.control.change([&](proxy::traffic_view& view)
                          { view.endpoints[service][1].version = version_name("v2"); });
    set_split(0);
    CHECK(count_new_version_calls("none-") == 0);
    set_split(0.5);
    auto const half = count_new_version_calls("half-");
    CHECK(half > 8);
    CHECK(half < 32);
    set_split(1);
    CHECK(count_new_version_calls("all-") == 40);
    system.control.change(
        [&](proxy::traffic_view& view)
        {
            view.splits.clear();
            view.reversed[service] = {version_name("v2")};
        });
    CHECK(count_new_version_calls("reversed-") == 0);
    system.control.change(
        [&](proxy::traffic_view& view)
        {
            view.reversed.clear();
            view.endpoints[service].pop_back();
        });
    set_split(0.5);
    CHECK(count_new_version_calls("missing-") == 0);
    CHECK(old_version.requests.size() >= 120);
}

namespace
{

/// Gives the account of the fixture a quota, and the system two entries. Calls that state no tokens
/// count 100.
void set_quota(proxy_fixture& system, double tokens_per_second)
{
    system.control.change(
        [&](proxy::traffic_view& view)
        {
            auto map = view.services->map();
            map.accounts[0].quota = version::token_quota{tokens_per_second, 0, 100};
            view.services = std::make_shared<version::service_index const>(std::move(map));
            view.entries = 2;
        });
}

/// Makes the service one of model engines.
void set_engine(proxy_fixture& system, std::string const& service)
{
    system.control.change(
        [&](proxy::traffic_view& view)
        {
            auto map = view.services->map();
            for (auto& configured : map.services)
                configured.is_engine = configured.name == service_name(service);
            view.services = std::make_shared<version::service_index const>(std::move(map));
        });
}

} // namespace

TEST_CASE("a call beyond the entry's portion of a quota is admitted with borrowed tokens")
{
    // Guards against refusals of calls that the account's total quota allows.
    proxy_fixture system;
    system.add_endpoint("plain", "e1");
    set_quota(system, 200);
    CHECK(system.call("/plain/x", "id-1").status() == 200);
    CHECK(system.control.borrow_requests.empty());
    system.control.lent_tokens = 100;
    CHECK(system.call("/plain/x", "id-2").status() == 200);
    REQUIRE(system.control.borrow_requests.size() == 1);
    CHECK(system.control.borrow_requests[0].first == account_id("account"));
    CHECK(system.control.borrow_requests[0].second > 0);
    CHECK(system.control.borrow_requests[0].second <= 100);
}

TEST_CASE("the demand of disconnected callers decays")
{
    // Guards against engines that are kept running for an entry without callers, when demand is
    // published only as calls arrive.
    proxy_fixture system;
    system.add_endpoint("plain", "e1");
    set_quota(system, 200);
    CHECK(system.call("/plain/x", "id-1").status() == 200);
    system.context.run_for(std::chrono::milliseconds(300));
    system.proxy.tick();
    auto const first = system.control.demand[account_id("account")];
    CHECK(first > 0);
    system.context.run_for(std::chrono::milliseconds(300));
    system.proxy.tick();
    CHECK(system.control.demand[account_id("account")] < first);
}

TEST_CASE("an entry states the work that it gives to engines if the settings ask for it")
{
    // Guards against prompts that are not counted, and against rows that grow in other deployments.
    for (bool const is_stated : {false, true})
    {
        proxy::proxy_options options{1.0, 100, {}};
        options.states_engine_work = is_stated;
        proxy_fixture system(options);
        set_engine(system, "plain");
        auto& engine = system.add_endpoint("plain", "e1");
        engine.mode = endpoint_mode::delayed;
        engine.answer_delay = std::chrono::milliseconds(700);
        auto const call = system.start_call("/plain/x", "id-1", "", "key-1", "1,2");
        system.run_until([&] { return !engine.requests.empty(); });
        system.context.run_for(std::chrono::milliseconds(260));
        system.proxy.tick();
        auto const work = system.control.engine_work[service_name("plain")];
        CHECK((work.prefill > 0) == is_stated);
        CHECK((work.prompts > 0) == is_stated);
        CHECK(work.running == (is_stated ? 1 : 0));
        system.context.run_for(std::chrono::milliseconds(800));
        system.proxy.tick();
        CHECK(system.control.engine_work[service_name("plain")].running == 0);
    }
}

TEST_CASE("an entry does not request tokens for each call of an account over its quota")
{
    // Guards against a flood of one account's calls that becomes a flood of messages between
    // entries.
    proxy_fixture system;
    system.add_endpoint("plain", "e1");
    set_quota(system, 200);
    CHECK(system.call("/plain/x", "id-1").status() == 200);
    for (int i = 2; i < 12; ++i)
    {
        auto const answer = system.call("/plain/x", "id-" + std::to_string(i));
        CHECK(answer.status() == 429);
        CHECK(answer.heads[0].headers.find("Retry-After") != nullptr);
    }
    CHECK(system.control.borrow_requests.size() == 1);
}

TEST_CASE("the next call is admitted after the other entries did not reply")
{
    // Guards against 250 ms of refusals below the quota after each lost message.
    proxy_fixture system;
    system.add_endpoint("plain", "e1");
    set_quota(system, 200);
    CHECK(system.call("/plain/x", "id-1").status() == 200);
    system.control.others_reply = false;
    CHECK(system.call("/plain/x", "id-2").status() == 429);
    system.control.lent_tokens = 100;
    CHECK(system.call("/plain/x", "id-3").status() == 200);
}

TEST_CASE("an entry lends only tokens of known accounts with a quota")
{
    // Guards against loans of tokens that no quota covers.
    proxy_fixture system;
    CHECK(system.proxy.lend_tokens(account_id("account"), 10).lent == 0);
    CHECK_FALSE(system.proxy.lend_tokens(account_id("account"), 10).is_holder);
    set_quota(system, 200);
    CHECK(system.proxy.lend_tokens(account_id("other"), 10).lent == 0);
    CHECK(system.proxy.lend_tokens(account_id("account"), 10).lent == 10);
    CHECK(system.proxy.lend_tokens(account_id("account"), 10).is_holder);
}

TEST_CASE("a call that arrives before the first configuration waits for it")
{
    // Guards against refusals shortly after a restart, when a short wait is enough.
    proxy_fixture system;
    system.add_endpoint("plain", "e1");
    auto const services = system.control.view()->services;
    system.control.change([](proxy::traffic_view& view) { view.services.reset(); });
    auto const waiting = system.start_call("/plain/x", "id-1");
    system.context.run_for(std::chrono::milliseconds(100));
    CHECK_FALSE(waiting.observer->is_over());
    CHECK(system.proxy.open_calls() == 1);
    system.control.change([&](proxy::traffic_view& view) { view.services = services; });
    system.run_until([&] { return waiting.observer->is_over(); });
    CHECK(waiting.observer->status() == 200);
    CHECK(system.proxy.open_calls() == 0);
}

TEST_CASE("a call whose wait for the configuration times out is refused as not executed")
{
    // Guards against calls that wait until their deadline, too late for a retry at another entry.
    proxy_fixture system;
    system.control.change([](proxy::traffic_view& view) { view.services.reset(); });
    auto const start_time = std::chrono::steady_clock::now();
    auto const answer = system.call("/plain/x", "id-1");
    CHECK(answer.status() == 503);
    CHECK(answer.heads[0].headers.find("Retry-After") != nullptr);
    CHECK(std::chrono::steady_clock::now() - start_time < std::chrono::milliseconds(1500));
}

TEST_CASE("a call that waits for the configuration is dropped when its caller disconnects")
{
    // Guards against work at an endpoint for a caller that is gone.
    proxy_fixture system;
    auto& endpoint = system.add_endpoint("plain", "e1");
    auto const services = system.control.view()->services;
    system.control.change([](proxy::traffic_view& view) { view.services.reset(); });
    auto const waiting = system.start_call("/plain/x", "id-1");
    system.context.run_for(std::chrono::milliseconds(50));
    waiting.call->cancel();
    system.context.run_for(std::chrono::milliseconds(50));
    system.control.change([&](proxy::traffic_view& view) { view.services = services; });
    system.context.run_for(std::chrono::milliseconds(50));
    CHECK(endpoint.requests.empty());
    CHECK(system.proxy.open_calls() == 0);
}

TEST_CASE("a second attempt takes one retry from the budget")
{
    // Guards against a 502 in place of the endpoint's own response, when the budget is queried
    // twice for one attempt and refuses the second time.
    proxy_fixture system({0, 1, {}});
    auto& first = system.add_endpoint("plain", "e1");
    auto& second = system.add_endpoint("plain", "e2");
    first.mode = second.mode = endpoint_mode::fail;
    CHECK(system.call("/plain/x", "id-1").status() == 500);
    CHECK(first.requests.size() + second.requests.size() == 2);
    // The budget has no retry left, so the endpoint's response is relayed.
    CHECK(system.call("/plain/x", "id-2").status() == 500);
    CHECK(first.requests.size() + second.requests.size() == 3);
}
