#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <lagoonladder/request.hpp>

using namespace lagoonladder;
using request::event_splitter;

TEST_CASE("a stream is cut into the same events however its bytes arrive")
{
    // Guards against events that are joined or lost when a chunk ends within one.
    std::string const text =
        "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: ping\n\nid:30\ndata: c\n\n";
    rc::prop("the events are the same",
             [&]
             {
                 event_splitter splitter;
                 std::string joined;
                 std::vector<std::uint64_t> ids;
                 int count = 0;
                 std::size_t position = 0;
                 while (position < text.size())
                 {
                     auto const length = *rc::gen::inRange<std::size_t>(1, 12);
                     splitter.add(std::string_view(text).substr(position, length),
                                  [&](event_splitter::event const& event)
                                  {
                                      ++count;
                                      joined += event.bytes;
                                      if (event.id)
                                          ids.push_back(*event.id);
                                  });
                     position += length;
                 }
                 RC_ASSERT(joined == text);
                 RC_ASSERT(count == 4);
                 RC_ASSERT((ids == std::vector<std::uint64_t>{1, 2, 30}));
                 RC_ASSERT(!splitter.has_partial());
             });
}

TEST_CASE("an incomplete event is buffered")
{
    // Guards against an event that is passed on before its end has arrived.
    event_splitter splitter;
    int count = 0;
    auto const count_event = [&](event_splitter::event const&) { ++count; };
    CHECK(splitter.add("id: 1\ndata: a", count_event));
    CHECK(count == 0);
    CHECK(splitter.has_partial());
    // Guards against unbounded memory for a stream in which no event ends.
    CHECK_FALSE(splitter.add(std::string(event_splitter::max_event_bytes, 'x'), count_event));
}
