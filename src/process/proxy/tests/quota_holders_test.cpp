#include <catch2/catch.hpp>

#include <lagoonladder/proxy.hpp>

using namespace lagoonladder;
using proxy::quota_holders;

namespace
{

proxy::traffic_view view_of(std::size_t entries)
{
    proxy::traffic_view view;
    for (std::size_t i = 0; i < entries; ++i)
        view.serving.push_back({vm_id("entry-" + std::to_string(i)),
                                network_address("10.0.0." + std::to_string(i) + ":1")});
    return view;
}

std::set<vm_id> names_of(std::vector<proxy::serving_entry> const& entries)
{
    std::set<vm_id> names;
    for (auto const& entry : entries)
        names.insert(entry.vm);
    return names;
}

} // namespace

TEST_CASE("each of a few entries holds a portion of a quota")
{
    CHECK(quota_holders(view_of(1), account_id("t")).empty());
    CHECK(quota_holders(view_of(16), account_id("t")).empty());
    CHECK(quota_holders(view_of(17), account_id("t")).size() == 4);
}

TEST_CASE("entries agree on the holders and an entry that leaves changes at most one of them")
{
    // Guards against quotas that are spent twice because many accounts get new holders at once.
    auto const all = view_of(86);
    auto fewer = all;
    std::reverse(fewer.serving.begin(), fewer.serving.end());
    fewer.serving.pop_back();
    std::size_t moved = 0;
    for (int i = 0; i < 200; ++i)
    {
        account_id const account("account-" + std::to_string(i));
        auto const before = names_of(quota_holders(all, account));
        auto const after = names_of(quota_holders(fewer, account));
        std::size_t kept = 0;
        for (auto const& name : after)
            kept += before.contains(name) ? 1 : 0;
        CHECK(kept >= 3);
        moved += kept < 4 ? 1 : 0;
    }
    CHECK(moved < 30);
}
