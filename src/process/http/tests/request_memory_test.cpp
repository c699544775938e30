#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <lagoonladder/http.hpp>

using namespace lagoonladder;

namespace
{

constexpr std::uint64_t kib = 1024;
constexpr std::uint64_t mib = 1024 * kib;
constexpr duration stall = seconds(1);

/// A budget and the holdings of some requests, which are released when the budget says so.
struct request_crowd
{
    explicit request_crowd(std::uint64_t limit)
        : budget(std::make_shared<http::request_memory>(limit))
    {
    }

    std::size_t open()
    {
        auto const number = this->holdings.size();
        this->holdings.push_back(
            this->budget->open(this->now, [this, number] { this->released.push_back(number); }));
        return number;
    }

    /// Opens a request of `bytes`, and returns whether it is granted.
    bool add(std::uint64_t bytes) { return this->holdings[this->open()]->resize(this->now, bytes); }

    std::shared_ptr<http::request_memory> budget;
    time_point now{};
    std::vector<std::unique_ptr<http::request_memory::holding>> holdings;
    std::vector<std::size_t> released;
};

} // namespace

TEST_CASE("large requests leave room for small ones")
{
    // Guards against ordinary callers that get no answer while others fill the budget.
    request_crowd crowd(4 * mib);
    CHECK(crowd.add(mib));
    CHECK(crowd.add(mib));
    CHECK(crowd.add(mib));
    CHECK_FALSE(crowd.add(mib));
    for (int i = 0; i < 16; ++i)
        CHECK(crowd.add(64 * kib));
    CHECK(crowd.released.empty());
    // The reserve is spent as well: the largest one gives way, although it makes progress.
    CHECK(crowd.add(64 * kib));
    CHECK(crowd.released == std::vector<std::size_t>{0});
    CHECK_FALSE(crowd.holdings[0]->resize(crowd.now, kib));
    CHECK_FALSE(crowd.holdings[0]->pin());
}

TEST_CASE("requests without progress give way to others, the largest one first")
{
    // Guards against callers that stop just short of the end of their bodies and keep the budget.
    request_crowd crowd(4 * mib);
    crowd.add(mib / 2);
    crowd.add(mib);
    crowd.add(mib);
    crowd.now += stall;
    crowd.holdings[2]->record_progress(crowd.now, 16 * kib);
    CHECK(crowd.add(mib));
    CHECK(crowd.released == std::vector<std::size_t>{1});
    // What could be released is not enough, so that nothing is.
    CHECK_FALSE(crowd.add(2 * mib));
    CHECK(crowd.released.size() == 1);
}

TEST_CASE("requests that are handled do not give way")
{
    // Guards against a refusal of a request that is being executed.
    request_crowd crowd(4 * mib);
    crowd.add(3 * mib);
    CHECK(crowd.holdings[0]->pin());
    crowd.now += stall;
    CHECK_FALSE(crowd.add(mib));
    crowd.holdings[0].reset();
    CHECK(crowd.add(mib));
    CHECK(crowd.released.empty());
}

TEST_CASE("a single request is granted whatever its size")
{
    // Guards against a request inside the limits that is refused without other load.
    request_crowd crowd(4 * mib);
    CHECK(crowd.add(16 * kib));
    CHECK(crowd.add(5 * mib));
    CHECK_FALSE(crowd.add(mib));
}

TEST_CASE("unread responses are released when they exceed the budget")
{
    // Guards against callers that read nothing and so let the process grow.
    request_crowd crowd(mib);
    for (int i = 0; i < 5; ++i)
        crowd.holdings[crowd.open()]->resize_used(crowd.now, 256 * kib);
    CHECK(crowd.released.size() == 1);
    CHECK(crowd.budget->used() == mib);
}

TEST_CASE("the budget holds for any sequence of requests")
{
    // Guards against bytes that are counted twice or never given back.
    rc::prop("large requests stay within their part, and an empty budget has no bytes",
             [](std::vector<std::uint16_t> const& sizes, std::vector<std::uint8_t> const& ends)
             {
                 request_crowd crowd(4 * mib);
                 for (auto const size : sizes)
                 {
                     crowd.now += milliseconds(50);
                     crowd.add(65 * kib + size * std::uint64_t(16));
                     RC_ASSERT(crowd.budget->used() <= 3 * mib);
                 }
                 for (auto const end : ends)
                 {
                     if (!crowd.holdings.empty())
                         crowd.holdings[end % crowd.holdings.size()].reset();
                 }
                 crowd.holdings.clear();
                 RC_ASSERT(crowd.budget->used() == 0);
             });
}
