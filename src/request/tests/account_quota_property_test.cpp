#include <algorithm>
#include <deque>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <lagoonladder/request.hpp>

using namespace lagoonladder;
using request::account_limit;
using request::account_quota;

namespace
{

account_id const account("t");

constexpr duration step = milliseconds(10);
constexpr duration quota_window = seconds(8);
constexpr duration demand_interval = milliseconds(500);

/// Demand of an entry that another entry receives later.
struct demand_message
{
    time_point arrival;
    double demand = 0;
};

/// Entries that share the quota of one account. Reports of demand take up to 1.5 s from one entry
/// to another, and entries restart without what they knew.
class quota_cluster
{
public:
    quota_cluster(std::uint64_t seed, std::size_t count, account_limit const& allowed)
        : random(seed)
        , limit(allowed)
        , entries(count, account_quota(time_point{}))
        , rates(count)
        , pending_tokens(count)
        , known(count, std::vector<double>(count))
        , messages(count, std::vector<std::deque<demand_message>>(count))
    {
    }

    /// Sets the tokens per second that callers request at an entry from now on.
    void set_rate(std::size_t entry, double tokens_per_second)
    {
        this->rates[entry] = tokens_per_second;
    }

    void restart(std::size_t entry)
    {
        this->entries[entry] = account_quota(this->now);
        std::fill(this->known[entry].begin(), this->known[entry].end(), 0);
    }

    /// Handles the requests of one step, all of `tokens` each.
    void advance(double tokens)
    {
        this->exchange_demand();
        for (std::size_t i = 0; i < this->size(); ++i)
        {
            this->pending_tokens[i] += this->rates[i] * to_seconds(step);
            for (; this->pending_tokens[i] >= tokens; this->pending_tokens[i] -= tokens)
            {
                this->requested += tokens;
                if (this->take(i, tokens))
                    this->record(tokens);
            }
        }
        this->now += step;
    }

    std::size_t size() const { return this->entries.size(); }

    time_point now{};
    double requested = 0;
    double granted = 0;
    std::size_t loan_rounds = 0;
    /// Most tokens that were granted within the window of the quota.
    double most_in_window = 0;

private:
    bool take(std::size_t entry, double tokens)
    {
        auto& own = this->entries[entry];
        auto const decision =
            own.take(this->now, account, this->limit, this->peers_of(entry), tokens);
        if (decision.granted)
            return true;
        ++this->loan_rounds;
        auto const wanted = account_quota::tokens_to_request(decision.shortage, this->size() - 1);
        double lent = 0;
        for (std::size_t i = 0; i < this->size(); ++i)
        {
            if (i != entry)
                lent += this->entries[i].lend(this->now, account, this->limit, this->peers_of(i),
                                              wanted);
        }
        return own
            .take_with_loan(this->now, account, this->limit, this->peers_of(entry), tokens, lent)
            .granted;
    }

    void record(double tokens)
    {
        this->granted += tokens;
        this->in_window += tokens;
        this->grants.emplace_back(this->now, tokens);
        while (this->grants.front().first + quota_window <= this->now)
        {
            this->in_window -= this->grants.front().second;
            this->grants.pop_front();
        }
        this->most_in_window = std::max(this->most_in_window, this->in_window);
    }

    void exchange_demand()
    {
        if (this->now.time_since_epoch() % demand_interval == duration(0))
            this->send_demand();
        for (std::size_t to = 0; to < this->size(); ++to)
        {
            for (std::size_t from = 0; from < this->size(); ++from)
                this->receive_demand(to, from);
        }
    }

    void send_demand()
    {
        for (std::size_t from = 0; from < this->size(); ++from)
        {
            auto const demand = this->entries[from].demand(this->now)[account];
            this->known[from][from] = demand;
            for (std::size_t to = 0; to < this->size(); ++to)
            {
                auto const delay = milliseconds(200 + this->random.below(1'300));
                this->messages[to][from].push_back({this->now + delay, demand});
            }
        }
    }

    void receive_demand(std::size_t to, std::size_t from)
    {
        auto& queue = this->messages[to][from];
        for (; !queue.empty() && queue.front().arrival <= this->now; queue.pop_front())
        {
            if (to != from)
                this->known[to][from] = queue.front().demand;
        }
    }

    request::peer_demand peers_of(std::size_t entry) const
    {
        double others = 0;
        for (std::size_t i = 0; i < this->size(); ++i)
            others += i == entry ? 0 : this->known[entry][i];
        return {this->known[entry][entry], others, static_cast<std::uint32_t>(this->size())};
    }

    seeded_random random;
    account_limit limit;
    std::vector<account_quota> entries;
    std::vector<double> rates;
    std::vector<double> pending_tokens;
    std::vector<std::vector<double>> known;
    std::vector<std::vector<std::deque<demand_message>>> messages;
    std::deque<std::pair<time_point, double>> grants;
    double in_window = 0;
};

constexpr account_limit large_account{150'000, 150'000, 160'000};
constexpr double request_tokens = 2'000;
constexpr double usual_rate = large_account.tokens_per_second / 1.8;

/// Tokens that all entries together may grant within any window of the quota.
double max_tokens_in_window(account_limit const& limit)
{
    return limit.tokens_per_second * to_seconds(quota_window) + limit.burst + limit.allowance;
}

void set_equal_rates(quota_cluster& cluster, double total)
{
    for (std::size_t i = 0; i < cluster.size(); ++i)
        cluster.set_rate(i, total / static_cast<double>(cluster.size()));
}

void run(quota_cluster& cluster, duration length)
{
    for (auto const end = cluster.now + length; cluster.now < end;)
        cluster.advance(request_tokens);
}

} // namespace

TEST_CASE("a sudden rise of an account's demand at all entries stays within its quota")
{
    // Guards against entries that each raise their part of the quota because the reports of the
    // others' demand are older than their own.
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        quota_cluster cluster(seed, 9, large_account);
        run(cluster, seconds(10));
        set_equal_rates(cluster, 6 * usual_rate);
        run(cluster, seconds(10));
        CHECK(cluster.most_in_window <= max_tokens_in_window(large_account));
        CHECK(cluster.granted >= 10 * large_account.tokens_per_second);
    }
}

TEST_CASE("an account stays within its quota while entries restart")
{
    // Guards against entries that start with tokens which they granted before their restart.
    quota_cluster cluster(1, 9, large_account);
    set_equal_rates(cluster, 6 * usual_rate);
    for (int i = 0; i < 18; ++i)
    {
        run(cluster, milliseconds(700));
        cluster.restart(static_cast<std::size_t>(i) % cluster.size());
    }
    CHECK(cluster.most_in_window <= max_tokens_in_window(large_account));
}

TEST_CASE("requests below the quota are granted wherever they arrive")
{
    // Guards against refusals of an account that is below its quota, when its requests arrive at
    // few entries or begin to arrive at others.
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        quota_cluster cluster(seed, 9, large_account);
        seeded_random random(seed);
        run(cluster, seconds(5));
        for (int i = 0; i < 10; ++i)
        {
            set_equal_rates(cluster, 0);
            cluster.set_rate(random.below(cluster.size()), 0.7 * usual_rate);
            cluster.set_rate(random.below(cluster.size()), 0.3 * usual_rate);
            run(cluster, seconds(4));
        }
        CHECK(cluster.granted >= 0.99 * cluster.requested);
        // One round in three requests at most.
        CHECK(static_cast<double>(cluster.loan_rounds) <= cluster.requested / request_tokens / 3);
    }
}

TEST_CASE("an account never exceeds its quota at any demand, with restarts and late reports")
{
    // Guards against any schedule of changes in demand and of restarts in which the entries
    // together grant more than the quota.
    rc::prop("the tokens granted in each window stay below the quota",
             []
             {
                 auto const seed = *rc::gen::arbitrary<std::uint64_t>();
                 auto const count = *rc::gen::inRange<std::size_t>(2, 13);
                 seeded_random random(seed);
                 quota_cluster cluster(seed, count, large_account);
                 for (int i = 0; i < 12; ++i)
                 {
                     auto const total = 8 * random.unit() * large_account.tokens_per_second;
                     if (random.below(2) == 0)
                         set_equal_rates(cluster, total);
                     else
                         cluster.set_rate(random.below(count), total);
                     if (random.below(3) == 0)
                         cluster.restart(random.below(count));
                     run(cluster, milliseconds(100 + random.below(2'500)));
                 }
                 RC_ASSERT(cluster.most_in_window <= max_tokens_in_window(large_account));
             });
}

TEST_CASE("an entry that is cut off grants what is in its bucket and no more")
{
    // Guards against a quota that accrues on both sides of a cut, once among the entries with the
    // quorum and once more at each entry that they count as dead.
    account_quota entry(time_point{});
    request::peer_demand peers;
    peers.entries = 10;
    auto const before = time_point{} + seconds(20);
    auto const bucket = (large_account.burst + large_account.allowance) / peers.entries;
    double granted = 0;
    CHECK(entry.take(before, account, large_account, peers, 0).granted);
    peers.may_accrue = false;
    for (int i = 0; i < 1'000; ++i)
    {
        auto const now = before + i * step;
        granted += entry.take(now, account, large_account, peers, 100).granted ? 100 : 0;
    }
    CHECK(granted <= bucket);
    CHECK(granted >= 0.99 * bucket);
    peers.may_accrue = true;
    auto const after = before + seconds(11);
    auto const accrued = large_account.tokens_per_second / peers.entries;
    CHECK(entry.take(after, account, large_account, peers, accrued).granted);
    CHECK_FALSE(entry.take(after, account, large_account, peers, accrued).granted);
}
