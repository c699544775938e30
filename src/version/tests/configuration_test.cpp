#include <catch2/catch.hpp>

#include <lagoonladder/version.hpp>

using namespace lagoonladder;
using namespace lagoonladder::version;
using Catch::Matchers::Contains;

namespace
{

std::string const digest = sha256_hex("secret");

std::string const example = "[route lookup]\n"
                            "service = booking\n"
                            "path = /status\n"
                            "idempotent = true\n"
                            "[service booking]\n"
                            "version = v1\n"
                            "finish_by = 2026-12-05T06:00:00Z\n"
                            "on_undecided = finish\n"
                            "status_lookup = /status/{key}\n"
                            "[route any]\n"
                            "service = booking\n"
                            "[service advisor]\n"
                            "kind = model_engine\n"
                            "version = m1\n"
                            "[account large]\n"
                            "share = 3\n"
                            "key_sha256 = " +
                            digest + "\n";

void check_error(std::string const& text, std::string const& message)
{
    CHECK_THROWS_AS(parse_configuration("c.ini", text), configuration_error);
    CHECK_THROWS_WITH(parse_configuration("c.ini", text), Contains(message));
}

} // namespace

TEST_CASE("a configuration file is read")
{
    // Guards against keys that are read into the wrong field or not at all.
    auto const parsed = parse_configuration("c.ini", example);
    auto const* booking = parsed.find_service(service_name("booking"));
    REQUIRE(booking != nullptr);
    CHECK(booking->on_undecided == undecided_choice::finish);
    CHECK(booking->finish_by == parse_wall_time("2026-12-05T06:00:00Z"));
    CHECK(parsed.find_service(service_name("advisor"))->kind == service_kind::model_engine);
    CHECK(parsed.find_account_by_key_hash(digest)->share == 3);
    CHECK(parsed.find_account_by_key_hash("") == nullptr);
    CHECK(digest == "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b");
}

TEST_CASE("the route with the longest path prefix decides whether a call is idempotent")
{
    // Guards against retrying a call that must run at most once.
    auto const parsed = parse_configuration("c.ini", example);
    service_name const booking("booking");
    CHECK(parsed.is_idempotent(booking, "POST", "/status/17"));
    CHECK(parsed.is_idempotent(booking, "POST", "/status?id=17"));
    CHECK_FALSE(parsed.is_idempotent(booking, "POST", "/statusreset"));
    CHECK_FALSE(parsed.is_idempotent(booking, "POST", "/book"));
    CHECK(parsed.is_idempotent(booking, "GET", "/book"));
    CHECK(parsed.find_route(service_name("advisor"), "GET", "/") == nullptr);
}

TEST_CASE("errors in a configuration name file and line")
{
    // Guards against typing errors that are silently ignored.
    check_error("[service a]\nversion = 1\n[rout b]\n", "c.ini:3: section [rout b]: unknown kind");
    check_error("[service a]\nversion = 1\nwatsh = 1 s\n", "c.ini:3: unknown key \"watsh\"");
    check_error("[service a]\nversion = 1\n[service a]\n", "c.ini:3: duplicate section");
    check_error("[service a]\nversion = 1\nversion = 2\n", "c.ini:3: duplicate key");
    check_error("[service a]\nversion = 1\nwatch = 5\n", "c.ini:3: key \"watch\"");
    check_error("[service a]\nversion = 1\nwatch = 0 s\n", "c.ini:3: key \"watch\"");
    check_error("[service a]\nversion = 1\nretry_budget = x\n", "c.ini:3: key \"retry_budget\"");
    check_error("[service a]\nversion = 1\nretry_budget = nan\n", "c.ini:3: key \"retry_budget\"");
    check_error("[service a]\nversion = 1\nfinish_by = soon\n", "c.ini:3: key \"finish_by\"");
    check_error("[service a]\nversion = 1\nkind = x\n", "c.ini:3: key \"kind\"");
    check_error("[service a]\nversion = 1\nstatus_lookup = /x\n", "c.ini:3: key \"status_lookup\"");
    check_error("[service a]\nkind = plain\n", "c.ini:1: section [service a]: key \"version\"");
    check_error("[service]\nversion = 1\n", "c.ini:1: section [service]: the section needs a name");
    check_error("[route r]\nservice = b\n", "c.ini:2: key \"service\": unknown service \"b\"");
    check_error("[service a]\nversion = 1\n[route r]\nservice = a\nmethod = get\n",
                "c.ini:5: key \"method\"");
    check_error("[service a]\nversion = 1\n[route r]\nservice = a\n[route s]\nservice = a\n",
                "c.ini:5: section [route s]: same service");
    check_error("[account a]\nkey_sha256 = 12\n", "c.ini:2: key \"key_sha256\"");
    check_error("[account a]\nkey_sha256 = " + digest + "\nshare = 0\n", "c.ini:3: key \"share\"");
    check_error("[account a]\nkey_sha256 = " + digest + "\n[account b]\nkey_sha256 = " + digest,
                "c.ini:4: key \"key_sha256\": same key as [account a]");
}

TEST_CASE("drafts and plain services get longer default timeouts")
{
    // Guards against an accepted draft that times out in the queue, and against a booking
    // whose outcome is reported as unknown while the service is still working on it.
    auto const parsed = parse_configuration("c.ini", "[service assistant]\nkind = model_engine\n"
                                                     "version = v1\n[service booking]\n"
                                                     "kind = plain\nversion = v1\n");
    auto const& assistant = *parsed.find_service(service_name("assistant"));
    auto const& booking = *parsed.find_service(service_name("booking"));
    CHECK(assistant.draft_timeout >= std::chrono::minutes(10));
    CHECK(assistant.progress_timeout == seconds(2));
    CHECK(booking.progress_timeout == seconds(10));
}
