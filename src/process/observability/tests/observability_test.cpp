#include <condition_variable>
#include <mutex>
#include <ostream>
#include <streambuf>

#include <catch2/catch.hpp>

#include <lagoonladder/observability.hpp>

using namespace lagoonladder;
using namespace lagoonladder::observability;
using Catch::Matchers::Contains;

TEST_CASE("an event is formatted as one line of key=value pairs")
{
    // Guards against a value with a line break or a quote forging another log line.
    event value;
    value.vm = vm_id("entry-1");
    value.name = "request.refused";
    value.fields = {{"reason", "line\nbreak \"quoted\""}, {"service", "booking"}};
    CHECK(format_event(value) == "1970-01-01T00:00:00.000000Z level=info vm=entry-1 "
                                 "event=request.refused reason=\"line?break \\\"quoted\\\"\" "
                                 "service=booking");
}

TEST_CASE("the timeline keeps the latest events and merges several daemons in order")
{
    // Guards against the oldest events being kept, and against duplicate or misordered events.
    manual_clock clock;
    event_timeline first(vm_id("a"), clock, severity::error, 3);
    event_timeline second(vm_id("b"), clock, severity::error, 3);
    for (int i = 0; i < 5; ++i)
        first.emit(severity::info, "e" + std::to_string(i), {});
    second.observe(first.stamp());
    second.emit(severity::info, "after", {});

    auto const list = first.list({}, 10);
    REQUIRE(list.size() == 3);
    CHECK(list.front().name == "e2");
    CHECK(first.list({}, 1).front().name == "e4");

    auto const merged = merge_events({second.list({}, 10), list, list});
    REQUIRE(merged.size() == 4);
    CHECK(merged.back().name == "after");
}

TEST_CASE("metrics are exposed in the text format")
{
    // Guards against renamed metrics, lost labels and counters that do not add up.
    metrics values;
    values.add("requests_total", {{"service", "booking"}});
    values.add("requests_total", {{"service", "booking"}}, 2);
    values.set("queue_age_seconds", {}, 1.5);
    values.observe_seconds("first_token_seconds", {}, 0.003);
    auto const text = values.expose();
    CHECK_THAT(text, Contains("lagoonladder_requests_total{service=\"booking\"} 3"));
    CHECK_THAT(text, Contains("lagoonladder_queue_age_seconds 1.5"));
    CHECK_THAT(text, Contains("lagoonladder_first_token_seconds_count 1"));
}

namespace
{

/// Output stream buffer that blocks each write until release() is called, like a reader of the
/// log that does not read.
class blocked_buffer : public std::streambuf
{
public:
    void release()
    {
        std::lock_guard const lock(this->mutex);
        this->is_open = true;
        this->changed.notify_all();
    }

    std::string text;

protected:
    std::streamsize xsputn(char const* bytes, std::streamsize count) override
    {
        std::unique_lock lock(this->mutex);
        this->changed.wait(lock, [this] { return this->is_open; });
        this->text.append(bytes, static_cast<std::size_t>(count));
        return count;
    }

    int overflow(int c) override
    {
        char const byte = static_cast<char>(c);
        this->xsputn(&byte, 1);
        return c;
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    bool is_open = false;
};

} // namespace

TEST_CASE("a blocked reader of the log does not block the writing of events")
{
    // Guards against requests that wait for the log, and against lines dropped without being
    // counted.
    blocked_buffer buffer;
    std::ostream out(&buffer);
    start_log(out);
    constexpr std::size_t lines = max_waiting_log_lines * 2;
    std::uint64_t dropped = 0;
    for (std::size_t i = 0; i < lines; ++i)
    {
        write_log_line("line");
        dropped += take_dropped_log_lines();
    }
    CHECK(dropped > 0);
    CHECK(dropped < lines);
    buffer.release();
    stop_log();
    CHECK_THAT(buffer.text, Contains("line"));
    auto const written = std::count(buffer.text.begin(), buffer.text.end(), '\n');
    CHECK(static_cast<std::uint64_t>(written) + dropped == lines);
}
