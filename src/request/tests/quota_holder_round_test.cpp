#include <functional>
#include <set>

#include <catch2/catch.hpp>

#include <lagoonladder/request.hpp>

using namespace lagoonladder;
using namespace lagoonladder::request;

namespace
{

account_id const account("t");
constexpr std::size_t entry_count = 86;
constexpr std::size_t quota_holder_count = 4;
constexpr double mean_tokens = 15'000;

/// Faults that are injected into the messages between entries.
struct message_faults
{
    /// Fraction of the messages that are lost, as a request or as a reply.
    double lost_fraction = 0;
    /// Fraction of the messages that take up to a quarter of a second longer.
    double slow_fraction = 0;
    /// Number of quota holders that lack the configuration and reply that they hold no tokens.
    std::size_t unconfigured_count = 0;
    /// Number of quota holders that do not reply from second 10 to second 20.
    std::size_t cut_off_count = 0;
};

struct simulation_result
{
    std::size_t requests = 0;
    std::size_t messages = 0;
    double requested = 0;
    double granted = 0;
};

/// Entries that borrow from quota holders by messages that take time and may be lost.
class message_simulation
{
public:
    message_simulation(std::uint64_t seed, account_limit const& allowed,
                       message_faults const& injected)
        : random(seed)
        , limit(allowed)
        , faults(injected)
        , entries(entry_count)
    {
    }

    /// Runs requests at random entries for half a minute.
    simulation_result run(double fraction_of_limit)
    {
        auto const rate = fraction_of_limit * this->limit.tokens_per_second / mean_tokens;
        this->schedule_requests(from_seconds(1 / rate));
        while (!this->events.empty())
        {
            auto const next = this->events.extract(this->events.begin());
            this->now = next.key();
            next.mapped()();
        }
        return this->result;
    }

private:
    struct entry
    {
        account_quota quota{time_point{}};
        quota_borrowing borrowing;
        lender_contacts contacts;
    };

    struct open_round
    {
        std::size_t entry_index = 0;
        double tokens = 0;
        double missing = 0;
        std::vector<network_address> quota_holders;
        quota_holder_round holder_round;
        bool is_finished = false;
    };

    void schedule(duration wait, std::function<void()> step)
    {
        this->events.emplace(this->now + wait, std::move(step));
    }

    void schedule_requests(duration mean)
    {
        auto const wait = from_seconds(to_seconds(mean) * 2 * this->random.unit());
        if (this->now + wait > time_point(seconds(30)))
            return;
        this->schedule(wait,
                       [this, mean]
                       {
                           this->request(this->random.below(entry_count));
                           this->schedule_requests(mean);
                       });
    }

    void request(std::size_t entry_index)
    {
        auto const tokens = 2 * mean_tokens * this->random.unit();
        ++this->result.requests;
        this->result.requested += tokens;
        auto& borrower = this->entries[entry_index];
        auto const decision =
            borrower.quota.take(this->now, account, this->limit, peers_of(entry_index), tokens);
        if (decision.granted)
            this->result.granted += tokens;
        else if (borrower.borrowing.begin_round(this->now, account, true))
            this->begin_round_for(entry_index, tokens, decision.shortage.missing);
    }

    void begin_round_for(std::size_t entry_index, double tokens, double missing)
    {
        std::vector<network_address> quota_holders;
        for (std::size_t i = 0; i < quota_holder_count; ++i)
        {
            if (i != entry_index)
                quota_holders.emplace_back(std::to_string(i));
        }
        quota_holders = this->entries[entry_index].contacts.order(
            this->now, std::move(quota_holders), this->random);
        quota_holder_round const holder_round(quota_holders.size(), missing);
        auto const round = std::make_shared<open_round>(
            open_round{entry_index, tokens, missing, std::move(quota_holders), holder_round});
        this->ask(round, round->holder_round.start());
        this->schedule(quota_holder_round::max_duration,
                       [this, round]
                       {
                           round->holder_round.expire();
                           this->finish_if_over(round);
                       });
    }

    void ask(std::shared_ptr<open_round> const& round, std::optional<std::size_t> holder_number)
    {
        this->finish_if_over(round);
        if (!holder_number)
            return;
        ++this->result.messages;
        this->schedule(quota_holder_round::reply_timeout, [this, round, holder_number]
                       { this->handle_timeout(round, *holder_number); });
        auto const holder = std::stoul(round->quota_holders[*holder_number].value());
        auto const is_lost = this->random.unit() < this->faults.lost_fraction;
        bool const is_lost_on_way_back = is_lost && this->random.below(2) == 0;
        if (this->is_cut_off(holder) || (is_lost && !is_lost_on_way_back))
            return;
        this->schedule(this->delay(),
                       [this, round, holder, holder_number, is_lost_on_way_back]
                       {
                           auto const reply = this->lend(holder, round->missing);
                           if (is_lost_on_way_back)
                               return;
                           this->schedule(this->delay(), [this, round, holder_number, reply]
                                          { this->deliver_reply(round, *holder_number, reply); });
                       });
    }

    void handle_timeout(std::shared_ptr<open_round> const& round, std::size_t holder_number)
    {
        if (this->replies_received.contains({round.get(), holder_number}))
            return;
        this->entries[round->entry_index].contacts.reply_overdue(
            this->now, round->quota_holders[holder_number]);
        if (!round->is_finished)
            this->ask(round, round->holder_round.reply_overdue(holder_number));
    }

    lender_reply lend(std::size_t holder, double wanted)
    {
        if (holder < this->faults.unconfigured_count)
            return {};
        return {this->entries[holder].quota.lend(this->now, account, this->limit, peers_of(holder),
                                                 wanted),
                true};
    }

    void deliver_reply(std::shared_ptr<open_round> const& round, std::size_t holder_number,
                       lender_reply const& reply)
    {
        auto& borrower = this->entries[round->entry_index];
        this->replies_received.emplace(round.get(), holder_number);
        borrower.contacts.reply_received(round->quota_holders[holder_number]);
        if (round->is_finished)
            return borrower.quota.deposit(account, reply.lent);
        this->ask(round, round->holder_round.reply_received(holder_number, reply));
    }

    void finish_if_over(std::shared_ptr<open_round> const& round)
    {
        if (round->is_finished || !round->holder_round.is_over())
            return;
        round->is_finished = true;
        this->finished_rounds.push_back(round);
        auto& borrower = this->entries[round->entry_index];
        auto const outcome = round->holder_round.outcome();
        borrower.borrowing.end_round(this->now, account, outcome);
        auto const decision = borrower.quota.take_with_loan(this->now, account, this->limit,
                                                            peers_of(round->entry_index),
                                                            round->tokens, outcome.lent);
        this->result.granted += decision.granted ? round->tokens : 0;
    }

    duration delay()
    {
        bool const is_slow = this->random.unit() < this->faults.slow_fraction;
        auto const max_delay = is_slow ? milliseconds(250) : milliseconds(20);
        return from_seconds(to_seconds(max_delay) * this->random.unit());
    }

    bool is_cut_off(std::size_t holder) const
    {
        auto const elapsed = this->now.time_since_epoch();
        return holder < this->faults.cut_off_count && elapsed >= seconds(10) &&
               elapsed < seconds(20);
    }

    static peer_demand peers_of(std::size_t entry_index)
    {
        peer_demand peers;
        peers.entries = entry_count;
        peers.quota_holder_count = quota_holder_count;
        peers.is_quota_holder = entry_index < quota_holder_count;
        return peers;
    }

    seeded_random random;
    account_limit limit;
    message_faults faults;
    std::vector<entry> entries;
    std::multimap<time_point, std::function<void()>> events;
    std::set<std::pair<open_round const*, std::size_t>> replies_received;
    /// Keeps finished rounds alive, so that the addresses in `replies_received` stay unique.
    std::vector<std::shared_ptr<open_round>> finished_rounds;
    time_point now{};
    simulation_result result;
};

simulation_result simulate(std::uint64_t seed, double fraction_of_limit,
                           message_faults const& faults)
{
    account_limit const limit{300'000, 300'000, 300'000};
    return message_simulation(seed, limit, faults).run(fraction_of_limit);
}

} // namespace

TEST_CASE("requests within the quota are served although messages are slow or lost")
{
    // Guards against refusals because a quota holder was slow: a timeout counted as a refusal and
    // made the entry refuse all requests of the account for 250 ms.
    message_faults faults;
    faults.lost_fraction = 0.05;
    faults.slow_fraction = 0.1;
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        auto const result = simulate(seed, 0.55, faults);
        CHECK(result.granted >= 0.98 * result.requested);
        CHECK(result.messages <= 2 * result.requests);
    }
}

TEST_CASE("requests within the quota are served while quota holders are unreachable")
{
    // Guards against refusals when the first two quota holders that are asked are unreachable.
    // The other two hold half of the tokens.
    message_faults faults;
    faults.cut_off_count = 2;
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        auto const result = simulate(seed, 0.3, faults);
        CHECK(result.granted >= 0.98 * result.requested);
    }
}

TEST_CASE("an entry without the configuration does not refuse as a quota holder")
{
    // Guards against refusals at the start and after changes of the entries, when entries disagree
    // on which entries are the quota holders.
    message_faults faults;
    faults.unconfigured_count = 2;
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        auto const result = simulate(seed, 0.3, faults);
        CHECK(result.granted >= 0.98 * result.requested);
    }
}

TEST_CASE("slow and lost messages do not let the entries exceed the quota")
{
    // Guards against late and lost replies whose tokens are granted twice.
    account_limit const limit{300'000, 300'000, 300'000};
    auto const max_tokens = 30 * limit.tokens_per_second + limit.burst + limit.allowance;
    message_faults faults;
    faults.lost_fraction = 0.05;
    faults.slow_fraction = 0.1;
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        auto const result = simulate(seed, 4, faults);
        CHECK(result.granted <= 1.05 * max_tokens);
        CHECK(result.granted >= 0.7 * 30 * limit.tokens_per_second);
    }
}

TEST_CASE("a round asks the next quota holder when a reply is overdue and ends after two refusals")
{
    // Guards against a request that waits for a single slow quota holder.
    quota_holder_round round(4, 100);
    CHECK(round.start() == 0U);
    CHECK(round.reply_overdue(0) == 1U);
    CHECK_FALSE(round.reply_overdue(0).has_value());
    CHECK(round.reply_received(1, {0, true}) == 2U);
    CHECK(round.failed(2) == 3U);
    CHECK_FALSE(round.is_over());
    CHECK_FALSE(round.reply_received(0, {0, true}).has_value());
    CHECK(round.is_over());
    CHECK(round.outcome().refused);
}

TEST_CASE("a round without a reply is no refusal")
{
    // Guards against a pause of all rounds of an account although no quota holder refused.
    quota_holder_round round(2, 100);
    CHECK(round.start() == 0U);
    CHECK(round.failed(0) == 1U);
    CHECK_FALSE(round.reply_received(1, {0, false}).has_value());
    CHECK(round.is_over());
    CHECK_FALSE(round.outcome().refused);

    quota_holder_round late(2, 100);
    CHECK(late.start() == 0U);
    late.expire();
    CHECK_FALSE(late.reply_received(0, {100, true}).has_value());
    CHECK_FALSE(late.outcome().refused);
    CHECK(late.outcome().lent == 0);
}

TEST_CASE("lenders with an overdue reply are asked last for a while")
{
    // Guards against requests that each wait for a quota holder that was stopped.
    seeded_random random(1);
    lender_contacts contacts;
    std::vector<network_address> const lenders{network_address("a"), network_address("b"),
                                               network_address("c")};
    time_point const now{seconds(1)};
    contacts.reply_overdue(now, lenders[0]);
    for (int i = 0; i < 10; ++i)
        CHECK(contacts.order(now, lenders, random).back() == lenders[0]);
    contacts.reply_received(lenders[0]);
    std::set<network_address> first;
    for (int i = 0; i < 50; ++i)
        first.insert(contacts.order(now, lenders, random).front());
    CHECK(first.size() == 3);
}
