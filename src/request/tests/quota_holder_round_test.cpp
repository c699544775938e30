#include <deque>
#include <functional>
#include <set>

#include <catch2/catch.hpp>

#include <lagoonladder/request.hpp>

using namespace lagoonladder;
using namespace lagoonladder::request;

namespace
{

account_id const account("t");
constexpr std::size_t quota_holder_count = 4;
constexpr double mean_tokens = 15'000;
constexpr duration quota_window = seconds(8);

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
    std::size_t entry_count = 86;
    /// Number of quota holders whose messages take 80 to 150 ms each way.
    std::size_t slow_holder_count = 0;
    /// Time from the start of the entries to the first request.
    duration first_request{};
};

struct simulation_result
{
    std::size_t requests = 0;
    std::size_t messages = 0;
    double requested = 0;
    double granted = 0;
    /// Most tokens that were granted within the window of the quota.
    double most_in_window = 0;
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
        , entries(injected.entry_count)
    {
    }

    /// Runs requests at random entries for half a minute.
    simulation_result run(double fraction_of_limit)
    {
        auto const rate = fraction_of_limit * this->limit.tokens_per_second / mean_tokens;
        this->now += this->faults.first_request;
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
                           this->request(this->random.below(this->entries.size()));
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
            this->record_grant(tokens);
        else if (borrower.borrowing.begin_round(this->now, account, true, tokens))
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
        auto const& lender = round->quota_holders[*holder_number];
        this->schedule(this->entries[round->entry_index].contacts.reply_timeout(lender),
                       [this, round, holder_number]
                       { this->handle_timeout(round, *holder_number); });
        auto const holder = std::stoul(round->quota_holders[*holder_number].value());
        auto const is_lost = this->random.unit() < this->faults.lost_fraction;
        bool const is_lost_on_way_back = is_lost && this->random.below(2) == 0;
        if (this->is_cut_off(holder) || (is_lost && !is_lost_on_way_back))
            return;
        this->schedule(
            this->delay(holder),
            [this, round, holder, holder_number, is_lost_on_way_back, asked_at = this->now]
            {
                auto const reply = this->lend(holder, round->missing);
                if (is_lost_on_way_back)
                    return;
                this->schedule(this->delay(holder), [this, round, holder_number, reply, asked_at]
                               { this->deliver_reply(round, *holder_number, reply, asked_at); });
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
                       lender_reply const& reply, time_point asked_at)
    {
        auto& borrower = this->entries[round->entry_index];
        this->replies_received.emplace(round.get(), holder_number);
        auto const& lender = round->quota_holders[holder_number];
        borrower.contacts.reply_received(lender);
        borrower.contacts.record_reply_time(lender, this->now - asked_at);
        if (round->is_finished)
            return this->return_tokens(std::stoul(lender.value()), reply.lent);
        this->ask(round, round->holder_round.reply_received(holder_number, reply));
    }

    void return_tokens(std::size_t holder, double tokens)
    {
        ++this->result.messages;
        if (this->random.unit() < this->faults.lost_fraction)
            return;
        this->schedule(this->delay(holder),
                       [this, holder, tokens]
                       {
                           this->entries[holder].quota.take_back(this->now, account, this->limit,
                                                                 this->peers_of(holder), tokens);
                       });
    }

    void finish_if_over(std::shared_ptr<open_round> const& round)
    {
        if (round->is_finished || !round->holder_round.is_over())
            return;
        round->is_finished = true;
        this->finished_rounds.push_back(round);
        auto& borrower = this->entries[round->entry_index];
        auto const outcome = round->holder_round.outcome();
        borrower.borrowing.end_round(this->now, account, outcome, round->tokens);
        auto const decision = borrower.quota.take_with_loan(this->now, account, this->limit,
                                                            peers_of(round->entry_index),
                                                            round->tokens, outcome.lent);
        this->record_grant(decision.granted ? round->tokens : 0);
    }

    void record_grant(double tokens)
    {
        this->result.granted += tokens;
        this->grants.emplace_back(this->now, tokens);
        this->in_window += tokens;
        for (; this->grants.front().first + quota_window <= this->now; this->grants.pop_front())
            this->in_window -= this->grants.front().second;
        this->result.most_in_window = std::max(this->result.most_in_window, this->in_window);
    }

    duration delay(std::size_t holder)
    {
        if (holder < this->faults.slow_holder_count)
            return milliseconds(80 + this->random.below(70));
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

    peer_demand peers_of(std::size_t entry_index) const
    {
        peer_demand peers;
        peers.entries = static_cast<std::uint32_t>(this->entries.size());
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
    std::deque<std::pair<time_point, double>> grants;
    double in_window = 0;
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

TEST_CASE("an account at a third of its quota is served while its quota holders reply slowly")
{
    // Guards against loans of several quota holders for the same request, and against tokens that
    // are lost with late replies, when replies take longer than the timeout, as on busy machines.
    account_limit const limit{479'260, 479'260, 350'000};
    message_faults faults;
    faults.slow_holder_count = quota_holder_count;
    faults.first_request = seconds(5);
    for (std::size_t const entries : {25, 92})
    {
        faults.entry_count = entries;
        for (std::uint64_t seed = 1; seed <= 5; ++seed)
        {
            auto const result = message_simulation(seed, limit, faults).run(1.0 / 3);
            CHECK(result.granted >= 0.99 * result.requested);
            CHECK(result.messages <= 3 * result.requests);
        }
    }
}

TEST_CASE("an account below its quota is served while two of its quota holders reply slowly")
{
    // Guards against refusals because the two holders that reply at once, and which are asked
    // first, are empty, while the other two hold half of the tokens.
    account_limit const limit{479'260, 479'260, 350'000};
    message_faults faults;
    faults.slow_holder_count = 2;
    faults.first_request = seconds(5);
    for (std::size_t const entries : {25, 92})
    {
        faults.entry_count = entries;
        for (std::uint64_t seed = 1; seed <= 5; ++seed)
        {
            auto const result = message_simulation(seed, limit, faults).run(0.8);
            CHECK(result.granted >= 0.99 * result.requested);
        }
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

TEST_CASE("tokens that are lent late and returned do not let the entries exceed the quota")
{
    // Guards against tokens that are granted at the borrower and lent again by the holder.
    account_limit const limit{479'260, 479'260, 350'000};
    message_faults faults;
    faults.slow_holder_count = quota_holder_count;
    faults.lost_fraction = 0.05;
    auto const max_tokens =
        to_seconds(quota_window) * limit.tokens_per_second + limit.burst + limit.allowance;
    for (std::size_t const entries : {25, 92})
    {
        faults.entry_count = entries;
        for (auto const start : {seconds(0), seconds(5)})
        {
            faults.first_request = start;
            auto const result = message_simulation(entries, limit, faults).run(5);
            CHECK(result.most_in_window <= max_tokens);
            CHECK(result.granted >= 0.7 * 25 * limit.tokens_per_second);
        }
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
    CHECK_FALSE(round.is_over());
    CHECK_FALSE(round.reply_overdue(3).has_value());
    CHECK(round.is_over());
    CHECK(round.outcome().refused);
}

TEST_CASE("a round asks all quota holders before it is refused")
{
    // Guards against refusals below the quota when two of four holders are empty, and against a
    // pause of all rounds after one refusal, when the other holders are silent.
    quota_holder_round round(4, 100);
    CHECK(round.start() == 0U);
    CHECK(round.reply_received(0, {0, true}) == 1U);
    CHECK(round.reply_received(1, {0, true}) == 2U);
    CHECK_FALSE(round.is_over());
    CHECK_FALSE(round.reply_received(2, {100, true}).has_value());
    CHECK(round.is_over());
    CHECK(round.outcome().lent == 100);

    quota_holder_round silent(4, 100);
    CHECK(silent.start() == 0U);
    CHECK(silent.reply_received(0, {0, true}) == 1U);
    silent.expire();
    CHECK_FALSE(silent.outcome().refused);
}

TEST_CASE("after a refusal, requests for fewer tokens are still asked for")
{
    // Guards against small requests that are refused unasked because a large one was refused.
    quota_borrowing borrowing;
    time_point const now{seconds(1)};
    CHECK(borrowing.begin_round(now, account, true, 1'000));
    borrowing.end_round(now, account, {0, true}, 1'000);
    CHECK_FALSE(borrowing.begin_round(now, account, true, 1'000));
    CHECK(borrowing.begin_round(now, account, true, 999));
    borrowing.end_round(now, account, {0, true}, 999);
    CHECK_FALSE(borrowing.begin_round(now, account, true, 999));
    CHECK(borrowing.begin_round(now + quota_borrowing::refusal_pause, account, true, 1'000));
}

TEST_CASE("a slow lender gets more time before the next one is asked")
{
    // Guards against several loans for each request while all lenders reply slowly.
    lender_contacts contacts;
    network_address const lender("a");
    CHECK(contacts.reply_timeout(lender) == quota_holder_round::reply_timeout);
    contacts.record_reply_time(lender, milliseconds(80));
    CHECK(contacts.reply_timeout(lender) == milliseconds(160));
    for (int i = 0; i < 20; ++i)
        contacts.record_reply_time(lender, milliseconds(1));
    CHECK(contacts.reply_timeout(lender) == quota_holder_round::reply_timeout);
    contacts.record_reply_time(lender, seconds(10));
    CHECK(contacts.reply_timeout(lender) == quota_holder_round::max_duration * 3 / 4);
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
