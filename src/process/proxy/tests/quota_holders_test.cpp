#include <catch2/catch.hpp>

#include <lagoonladder/proxy.hpp>

using namespace lagoonladder;
using proxy::quota_holders;

namespace
{

proxy::traffic_view make_view(std::size_t entries)
{
    proxy::traffic_view view;
    for (std::size_t i = 0; i < entries; ++i)
        view.serving.push_back({vm_id("entry-" + std::to_string(i)),
                                network_address("10.0.0." + std::to_string(i) + ":1")});
    return view;
}

std::set<vm_id> vms_of(std::vector<proxy::serving_entry> const& entries)
{
    std::set<vm_id> vms;
    for (auto const& entry : entries)
        vms.insert(entry.vm);
    return vms;
}

} // namespace

TEST_CASE("each of a few entries holds a portion of a quota")
{
    // Guards against holders in a small system, whose other entries would have to borrow all
    // tokens.
    CHECK(quota_holders(make_view(1), account_id("t")).empty());
    CHECK(quota_holders(make_view(16), account_id("t")).empty());
    CHECK(quota_holders(make_view(17), account_id("t")).size() == 4);
}

TEST_CASE("entries agree on the holders and an entry that leaves changes at most one of them")
{
    // Guards against quotas that are spent twice because many accounts get new holders at once.
    auto const full_view = make_view(86);
    auto reduced_view = full_view;
    std::reverse(reduced_view.serving.begin(), reduced_view.serving.end());
    reduced_view.serving.pop_back();
    std::size_t changed_accounts = 0;
    for (int i = 0; i < 200; ++i)
    {
        account_id const account("account-" + std::to_string(i));
        auto const before = vms_of(quota_holders(full_view, account));
        auto const after = vms_of(quota_holders(reduced_view, account));
        std::size_t kept_holders = 0;
        for (auto const& vm : after)
            kept_holders += before.contains(vm) ? 1 : 0;
        CHECK(kept_holders >= 3);
        changed_accounts += kept_holders < 4 ? 1 : 0;
    }
    CHECK(changed_accounts < 30);
}
