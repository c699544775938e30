#include <algorithm>
#include <set>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "service_maps.hpp"

using namespace lagoonladder;
using namespace lagoonladder::version;

namespace
{

/// Returns a content of random bytes.
packed_content random_content(random_source& random, std::uint64_t max_parts = 6)
{
    std::string bytes(1 + random.below(max_parts * max_content_part_bytes), '\0');
    for (auto& byte : bytes)
        byte = static_cast<char>(random.next());
    content_digest const digest(sha256_hex(bytes));
    return make_packed(digest, std::move(bytes));
}

/// Returns the part with one byte changed, or with a wrong size or offset.
content_part damage(random_source& random, content_part part)
{
    switch (random.below(4))
    {
    case 0:
        part.bytes[random.below(part.bytes.size())] ^= 1;
        break;
    case 1:
        part.bytes.pop_back();
        break;
    case 2:
        ++part.offset;
        break;
    default:
        part.offset += part.total * max_content_part_bytes;
    }
    return part;
}

std::set<std::uint64_t> offsets_of(packed_content const& content)
{
    std::set<std::uint64_t> offsets;
    for (auto const& part : split(content))
        offsets.insert(part.offset);
    return offsets;
}

/// The part store of a voter. A restart restores it from its snapshot.
struct part_store
{
    void add(content_part const& part) { this->assembly.add(++this->index, part); }

    void restart()
    {
        content_assembly restored;
        restored.restore(this->assembly.snapshot());
        this->assembly = restored;
    }

    content_assembly assembly;
    std::uint64_t index = 0;
};

/// Stores random parts, some of them twice, some damaged.
void add_random_parts(random_source& random, part_store& store, packed_content const& content)
{
    auto const parts = split(content);
    for (auto count = random.below(2 * parts.size()); count > 0; --count)
    {
        auto const& part = parts[random.below(parts.size())];
        store.add(random.below(12) == 0 ? damage(random, part) : part);
        if (random.below(8) == 0)
            store.restart();
    }
}

/// Stores the missing parts, as a sender does after each reply.
std::optional<packed_content> add_missing_parts(part_store& store, packed_content const& content)
{
    // The second round resends a content that was removed because a part was damaged.
    for (int round = 0; round < 2; ++round)
    {
        auto const held = store.assembly.held_offsets(content.digest);
        for (auto const& part : split(content))
        {
            if (!std::binary_search(held.begin(), held.end(), part.offset))
                store.add(part);
        }
        if (auto const found = store.assembly.find(content.digest))
            return found;
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("an upload completes with its content whatever parts were stored before")
{
    // Guards against parts that arrive twice, damaged or between restarts, and then prevent a
    // configuration from being acknowledged or put other bytes in force.
    rc::prop("for random parts of several contents",
             [](std::uint64_t seed)
             {
                 seeded_random random(seed);
                 std::vector<packed_content> contents;
                 for (std::size_t i = 0; i < content_assembly::max_contents; ++i)
                     contents.push_back(random_content(random));
                 part_store store;
                 for (int round = 0; round < 3; ++round)
                 {
                     for (auto const& content : contents)
                         add_random_parts(random, store, content);
                 }
                 for (auto const& content : contents)
                 {
                     auto const valid_offsets = offsets_of(content);
                     auto const held = store.assembly.held_offsets(content.digest);
                     RC_ASSERT(std::is_sorted(held.begin(), held.end()));
                     RC_ASSERT(std::includes(valid_offsets.begin(), valid_offsets.end(),
                                             held.begin(), held.end()));
                     auto const found = add_missing_parts(store, content);
                     RC_ASSERT(found);
                     RC_ASSERT(*found->bytes == *content.bytes);
                     store.assembly.remove(content.digest);
                     RC_ASSERT(store.assembly.held_offsets(content.digest).empty());
                 }
                 RC_ASSERT(store.assembly.snapshot().empty());
             });
}

TEST_CASE("a restored assembly behaves like one that was not restored")
{
    // Guards against voters that report different missing parts after a restart.
    rc::prop("for random parts of more contents than are kept",
             [](std::uint64_t seed)
             {
                 seeded_random random(seed);
                 std::vector<packed_content> contents;
                 for (std::size_t i = 0; i < content_assembly::max_contents + 6; ++i)
                     contents.push_back(random_content(random, 2));
                 part_store reference;
                 part_store restarted;
                 for (int step = 0; step < 60; ++step)
                 {
                     auto const& content = contents[random.below(contents.size())];
                     auto const parts = split(content);
                     auto const& part = parts[random.below(parts.size())];
                     reference.add(part);
                     restarted.add(part);
                     restarted.restart();
                     RC_ASSERT(reference.assembly.find(content.digest).has_value() ==
                               restarted.assembly.find(content.digest).has_value());
                     RC_ASSERT(reference.assembly.snapshot() == restarted.assembly.snapshot());
                     RC_ASSERT(reference.assembly.snapshot().size() <=
                               content_assembly::max_contents);
                 }
             });
}

TEST_CASE("a part that arrives after its configuration is in force is not kept")
{
    // Guards against snapshots that keep the parts of a second upload of the same content.
    auto const map_command = make_apply_command(make_large_configuration(1, 3'000));
    auto const parts = split(map_command.content);
    REQUIRE(parts.size() > 1);
    control_state state;
    std::uint64_t index = 0;
    for (auto const& part : parts)
        state.apply(++index, make_command(store_content_part{part}));
    auto without_bytes = map_command;
    without_bytes.content.bytes.reset();
    auto const result =
        std::get<apply_map_result>(state.apply(++index, make_command(without_bytes)));
    REQUIRE(result.stored);
    auto const before = state.snapshot().size();
    state.apply(++index, make_command(store_content_part{parts.front()}));
    CHECK(state.snapshot().size() < before + 1024);
}

TEST_CASE("contents that are uploaded concurrently are all completed")
{
    // Guards against concurrent uploads that remove each other's parts. If one content more is
    // uploaded than is kept, each new part removes the content whose part follows next.
    constexpr std::size_t senders = 8;
    seeded_random random(1);
    std::vector<packed_content> contents;
    for (std::size_t i = 0; i < senders; ++i)
        contents.push_back(random_content(random));
    part_store store;
    std::vector<std::vector<content_part>> parts_by_content;
    for (auto const& content : contents)
        parts_by_content.push_back(split(content));
    for (std::size_t i = 0; i < 8; ++i)
    {
        for (auto const& parts : parts_by_content)
        {
            if (i < parts.size())
                store.add(parts[i]);
        }
    }
    for (auto const& content : contents)
        CHECK(store.assembly.find(content.digest));
}

TEST_CASE("the parts of large contents stay within the limit in bytes")
{
    // Guards against voters whose memory and snapshots grow with uploads that never complete.
    constexpr std::uint64_t part_count = max_content_bytes / max_content_part_bytes;
    content_assembly assembly;
    std::uint64_t index = 0;
    for (std::size_t i = 0; i < content_assembly::max_contents; ++i)
    {
        content_digest const digest("d" + std::to_string(i));
        for (std::uint64_t part = 0; part + 1 < part_count; ++part)
            assembly.add(++index, {digest, part * max_content_part_bytes, max_content_bytes,
                                   std::string(max_content_part_bytes, 'x')});
        CHECK(assembly.held_offsets(digest).size() == part_count - 1);
    }
    std::uint64_t held = 0;
    for (std::size_t i = 0; i < content_assembly::max_contents; ++i)
        held += assembly.held_offsets(content_digest("d" + std::to_string(i))).size();
    CHECK(held * max_content_part_bytes <= content_assembly::max_held_bytes);
}
