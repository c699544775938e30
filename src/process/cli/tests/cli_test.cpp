#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include <unistd.h>

#include "apply_command.hpp"
#include "check_command.hpp"
#include "configuration_applier.hpp"
#include "drain_command.hpp"
#include "evacuate_command.hpp"
#include "events_command.hpp"
#include "explain_command.hpp"
#include "fake_entry.hpp"
#include "hash_key_command.hpp"
#include "report_command.hpp"
#include "report_format.hpp"
#include "text_table.hpp"

using namespace lagoonladder;
using namespace lagoonladder::cli;
using Catch::Matchers::Contains;
using nlohmann::json;

namespace
{

struct command_result
{
    exit_code code;
    std::string out;
    std::string err;
};

command_result run(command const& subcommand, std::vector<std::string> const& arguments,
                   std::string const& input = {})
{
    std::istringstream in(input);
    std::ostringstream out;
    std::ostringstream err;
    console terminal{in, out, err};
    auto const code = run_and_report_errors(subcommand, arguments, terminal);
    return {code, out.str(), err.str()};
}

/// Sets the token that all commands need, and writes a configuration file for `apply`.
struct operator_fixture
{
    operator_fixture()
    {
        setenv("LAGOONLADDER_TOKEN", "secret", 1);
        unsetenv("LAGOONLADDER_ENTRIES");
        std::ofstream(this->file)
            << "[service booking]\nkind = plain\nversion = v1\n[account a]\nkey_sha256 = " +
                   std::string(64, 'a') + "\n";
    }
    ~operator_fixture() { std::remove(this->file.c_str()); }

    command_result apply(std::vector<std::string> arguments) const
    {
        arguments.push_back(this->file);
        return run(apply_command(), arguments);
    }

    // ctest runs the test cases in parallel processes in one folder, so the name is unique.
    std::string file = "cli_test_" + std::to_string(getpid()) + ".ini";
};

json const stored_reply{{"outcome", "stored"}, {"generation", 8}};

operator_client client_for(std::vector<std::string> const& addresses)
{
    operator_access access;
    for (auto const& address : addresses)
        access.entries.emplace_back(address);
    access.timeout = seconds(2);
    return operator_client(access);
}

exit_code apply_exit_code(std::vector<std::string> const& addresses)
{
    auto const client = client_for(addresses);
    try
    {
        configuration_applier(client, 2, milliseconds(1)).apply({});
        return exit_code::done;
    }
    catch (cli_error const& problem)
    {
        return problem.code;
    }
}

} // namespace

TEST_CASE_METHOD(operator_fixture, "bad usage is reported before any call")
{
    // Guards against an apply that silently takes the current generation as base.
    CHECK(this->apply({"--entry", "127.0.0.1:1"}).code == exit_code::bad_input);
    CHECK(this->apply({"--entry", "127.0.0.1:1", "--base", "1", "--force-current"}).code ==
          exit_code::bad_input);
    CHECK(this->apply({"--entry", "127.0.0.1:1", "--base", "-1"}).code == exit_code::bad_input);
    CHECK(this->apply({"--entry", "nowhere", "--base", "1"}).code == exit_code::bad_input);
    CHECK(this->apply({"--base", "1"}).code == exit_code::bad_input);
    CHECK(run(drain_command(), {"--entry", "127.0.0.1:1"}).code == exit_code::bad_input);
    CHECK(run(events_command(), {"--entry", "127.0.0.1:1", "--since", "noon"}).code ==
          exit_code::bad_input);
    CHECK(run(check_command(), {"--no-such-option"}).code == exit_code::bad_input);
    unsetenv("LAGOONLADDER_TOKEN");
    CHECK_THAT(this->apply({"--entry", "127.0.0.1:1", "--base", "1"}).err, Contains("no token"));
}

TEST_CASE_METHOD(operator_fixture, "apply sends base, file, text and token")
{
    // Guards against a call that the entry rejects or that stores other text than the file has.
    fake_entry entry(200, stored_reply);
    setenv("LAGOONLADDER_ENTRIES", entry.address().c_str(), 1);
    auto const result = this->apply({"--base", "7", "--operation", "op-1"});
    CHECK(result.code == exit_code::done);
    CHECK_THAT(result.out, Contains("stored as generation 8"));
    CHECK_THAT(result.err, Contains("operation op-1"));
    REQUIRE(entry.received_requests().size() == 1);
    auto const request = entry.received_requests().front();
    CHECK(request.method == "PUT");
    CHECK(request.get_header_value("Authorization") == "Bearer secret");
    auto const body = json::parse(request.body);
    CHECK(body.at("base") == 7);
    CHECK(body.at("file") == this->file);
    CHECK(body.at("operation") == "op-1");
    CHECK_THAT(body.at("text").get<std::string>(), Contains("[service booking]"));
}

TEST_CASE_METHOD(operator_fixture,
                 "apply repeats a call with a lost response under the same operation id")
{
    // Guards against a resend under a new operation id, which would conflict with itself.
    fake_entry first(200, stored_reply, true);
    fake_entry second(200, {{"outcome", "repeated"}, {"generation", 8}});
    auto const result =
        this->apply({"--base", "7", "--entry", first.address(), "--entry", second.address()});
    CHECK(result.code == exit_code::done);
    CHECK_THAT(result.out, Contains("repeated as generation 8"));
    REQUIRE(first.received_requests().size() == 1);
    REQUIRE(second.received_requests().size() == 1);
    CHECK(json::parse(first.received_requests()[0].body)["operation"] ==
          json::parse(second.received_requests()[0].body)["operation"]);
}

TEST_CASE_METHOD(operator_fixture, "a conflict reports the operation that was stored first")
{
    // Guards against a conflict that is retried, or that does not say which operation won.
    fake_entry entry(409, {{"outcome", "conflict"},
                           {"generation", 9},
                           {"winner_operation", "op-other"},
                           {"winner_digest", "d1"},
                           {"detail", "generation 9 was stored first"}});
    auto const result = this->apply({"--base", "7", "--entry", entry.address()});
    CHECK(result.code == exit_code::conflict);
    CHECK_THAT(result.err, Contains("generation is 9") && Contains("op-other"));
    CHECK(entry.received_requests().size() == 1);
}

TEST_CASE("the exit code of apply tells whether the configuration may have been stored")
{
    // Guards against reporting "nothing was stored" after a response was lost.
    fake_entry lost(200, stored_reply, true);
    fake_entry not_proposed(503, {{"outcome", "not_proposed"}});
    fake_entry unknown(504, {{"outcome", "unknown"}});
    fake_entry forbidden(401, {{"detail", "token"}});
    fake_entry invalid(400, {{"outcome", "invalid"}, {"detail", "a.ini:1: bad"}});
    std::string const unreachable = "127.0.0.1:1";
    CHECK(apply_exit_code({not_proposed.address()}) == exit_code::failed);
    CHECK(apply_exit_code({unreachable}) == exit_code::unknown);
    CHECK(apply_exit_code({unknown.address(), not_proposed.address()}) == exit_code::unknown);
    CHECK(apply_exit_code({lost.address(), not_proposed.address()}) == exit_code::unknown);
    CHECK(apply_exit_code({unreachable, forbidden.address()}) == exit_code::failed);
    CHECK(apply_exit_code({invalid.address()}) == exit_code::bad_input);
    CHECK(not_proposed.received_requests().size() == 6);
}

TEST_CASE("apply --wait ends when the moves of the generation have ended")
{
    // Guards against success being reported for a reversed move or a stale entry.
    auto const body = [](char const* state, int entry_generation)
    {
        return json{{"generation", 8},
                    {"entries", {{{"vm", "vm1"}, {"generation", entry_generation}}}},
                    {"moves",
                     {{{"service", "s"}, {"to", "v2"}, {"state", state}, {"generation", 8}},
                      {{"service", "t"}, {"state", "reversed"}, {"generation", 3}}}}};
    };
    auto const wait = [](json const& response_body)
    {
        fake_entry entry(200, response_body);
        auto const client = client_for({entry.address()});
        return generation_waiter(client, milliseconds(100), milliseconds(10)).wait(generation(8));
    };
    CHECK(wait(body("finished", 8)).at("moves").size() == 1);
    CHECK_THROWS_WITH(wait(body("reversed", 8)), Contains("was reversed"));
    CHECK_THROWS_WITH(wait(body("running", 8)), Contains("timed out"));
    CHECK_THROWS_WITH(wait(body("finished", 7)), Contains("timed out"));
}

TEST_CASE_METHOD(operator_fixture, "reports fail over to the next entry")
{
    // Guards against a report that fails as soon as one entry is down.
    fake_entry entry(200, {{"moves", json::array()}});
    report_command const moves("moves", "", format_moves);
    auto const result = run(moves, {"--entry", "127.0.0.1:1", "--entry", entry.address()});
    CHECK(result.code == exit_code::done);
    CHECK(result.out == "no moves\n");
    CHECK(run(moves, {"--entry", "127.0.0.1:1"}).code == exit_code::unknown);
    auto const as_json = run(moves, {"--entry", entry.address(), "--output", "json"});
    CHECK(json::parse(as_json.out) == json{{"moves", json::array()}});
}

TEST_CASE("tables are aligned and show no control characters")
{
    // Guards against text from an endpoint that sends control sequences to the operator's terminal.
    text_table table({"A", "LONG NAME", "C"});
    table.add({"value", "x", "y"});
    table.add({"e\033[2J", "x"});
    CHECK(table.str() == "A      LONG NAME  C\nvalue  x          y\ne?[2J  x\n");
}

TEST_CASE("reports show missing fields, times and shares")
{
    // Guards against a report that fails on an absent field or prints raw numbers.
    auto const moves = format_moves({{"moves",
                                      {{{"service", "advisor"},
                                        {"from", "v1"},
                                        {"to", "v2"},
                                        {"share", 0.25},
                                        {"state", "running"},
                                        {"started", 1796364000000000},
                                        {"figures", {{"failures_new", "12/40"}}}}}}});
    CHECK_THAT(moves, Contains("25.0%") && Contains("2026-12-04T06:00:00Z") &&
                          Contains("failures_new=12/40"));
    auto const status = format_status({{"vm", "vm1"},
                                       {"ready", true},
                                       {"entries", {{{"vm", "vm1"}, {"state", "serving"}}}},
                                       {"warnings", {"no quorum"}}});
    CHECK_THAT(status, Contains("vm1") && Contains("serving") && Contains("no quorum"));
    auto const events = format_events({{"events", json::array()}, {"unreachable", {"vm9"}}});
    CHECK(events == "no events\nunreachable: vm9\n");
}

TEST_CASE_METHOD(operator_fixture, "check distinguishes settings from configurations")
{
    // Guards against a settings file being checked by the rules of a configuration.
    std::ofstream("cli_settings.ini")
        << "[vm]\nid = vm1\ndata_centre = dc1\n[listen]\nhttp = 127.0.0.1:8101\n"
           "control = 127.0.0.1:8201\n[security]\noperator_token = a\nendpoint_token = b\n"
           "cluster_token = c\n";
    CHECK_THAT(run(check_command(), {"cli_settings.ini"}).out, Contains("valid settings"));
    std::ofstream("cli_settings.ini") << "[vm]\nid = vm1\nname = x\n";
    auto const invalid = run(check_command(), {"cli_settings.ini"});
    CHECK(invalid.code == exit_code::bad_input);
    CHECK_THAT(invalid.err, Contains("cli_settings.ini:3"));
    std::remove("cli_settings.ini");
    CHECK_THAT(run(check_command(), {this->file}).out, Contains("valid configuration"));
    CHECK(run(check_command(), {"no-such-file.ini"}).code == exit_code::bad_input);
}

TEST_CASE("hash-key reads the key from standard input")
{
    // Guards against a hash that includes the line break, which would match no key.
    auto const* const hash = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad\n";
    CHECK(run(hash_key_command(), {"abc"}).out == hash);
    CHECK(run(hash_key_command(), {}, "abc\n").out == hash);
    CHECK(run(hash_key_command(), {}, "").code == exit_code::bad_input);
}

TEST_CASE_METHOD(operator_fixture, "evacuate sends the data centre and whether it is evacuated")
{
    // Guards against an end that starts an evacuation.
    fake_entry entry(200, {{"is_changed", true}});
    setenv("LAGOONLADDER_ENTRIES", entry.address().c_str(), 1);
    auto const started = run(evacuate_command(), {"hob-a"});
    CHECK(started.code == exit_code::done);
    CHECK(started.out == "hob-a is evacuated\n");
    CHECK(run(evacuate_command(), {"hob-a", "--end"}).out == "hob-a is not evacuated\n");
    CHECK(run(evacuate_command(), {}).code == exit_code::bad_input);
    auto const requests = entry.received_requests();
    REQUIRE(requests.size() == 2);
    CHECK(requests[0].path == "/v1/operator/evacuations");
    CHECK(json::parse(requests[0].body) == json{{"data_centre", "hob-a"}, {"is_evacuated", true}});
    CHECK(json::parse(requests[1].body) == json{{"data_centre", "hob-a"}, {"is_evacuated", false}});
}

TEST_CASE_METHOD(operator_fixture, "explain sends the call as it was described")
{
    // Guards against an answer about another call than the operator described.
    fake_entry entry(200, {{"view", {{"vm", "vm1"}, {"ready", true}}},
                           {"services",
                            {{{"service", "model"},
                              {"share", 1.0},
                              {"versions", {{{"version", ""}, {"outcome", "served"}}}},
                              {"endpoints", {{{"id", "e1"}, {"chance", 0.625}}}}}}}});
    setenv("LAGOONLADDER_ENTRIES", entry.address().c_str(), 1);
    std::vector<std::string> arguments{"--host",    "h",           "--path",        "/p/x",
                                       "--account", "a",           "--tokens",      "100,20",
                                       "--prompt",  "ff:90,1a:10", "--deadline-ms", "500"};
    auto const result = run(explain_command(), arguments);
    CHECK(result.code == exit_code::done);
    CHECK_THAT(result.out, Contains("62.5%") && Contains("served"));
    arguments.push_back("--json");
    CHECK(json::parse(run(explain_command(), arguments).out).contains("services"));
    auto const requests = entry.received_requests();
    REQUIRE(requests.size() == 2);
    CHECK(requests[0].path == "/v1/operator/explain");
    CHECK(json::parse(requests[0].body) ==
          json{{"host", "h"},
               {"path", "/p/x"},
               {"method", "POST"},
               {"account", "a"},
               {"tokens", {{"prompt", 100}, {"max_output", 20}}},
               {"prompt", {{{"hash", "ff"}, {"tokens", 90}}, {{"hash", "1a"}, {"tokens", 10}}}},
               {"deadline_ms", 500}});
}

TEST_CASE_METHOD(operator_fixture, "explain tells bad input from an entry that does not answer")
{
    // Guards against a script that takes an unknown route for an outage.
    fake_entry refusing(400, {{"detail", "no route has the host"}});
    fake_entry unable(404, {{"detail", "no pass-through calls"}});
    auto const explain = [](std::string const& address, std::vector<std::string> arguments)
    {
        arguments.insert(arguments.end(), {"--host", "h", "--path", "/x", "--entry", address});
        return run(explain_command(), arguments);
    };
    auto const unknown = explain(refusing.address(), {});
    CHECK(unknown.code == exit_code::bad_input);
    CHECK_THAT(unknown.err, Contains("no route has the host"));
    CHECK(explain(unable.address(), {}).code == exit_code::failed);
    CHECK(explain("127.0.0.1:1", {}).code == exit_code::failed);
    for (auto const* prompt : {"", "ff", "xyz:1", "ff:-1", "ff:1,", "ff:1:2"})
        CHECK(explain(refusing.address(), {"--prompt", prompt}).code == exit_code::bad_input);
    for (auto const* tokens : {"1", "1,", "1,2,3", "a,b"})
        CHECK(explain(refusing.address(), {"--tokens", tokens}).code == exit_code::bad_input);
    CHECK(explain(refusing.address(), {"--deadline-ms", "soon"}).code == exit_code::bad_input);
    CHECK(run(explain_command(), {"--entry", "127.0.0.1:1"}).code == exit_code::bad_input);
    CHECK(refusing.received_requests().size() == 1);
}
