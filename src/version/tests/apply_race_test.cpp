#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <lagoonladder/version.hpp>

using namespace lagoonladder;
using namespace lagoonladder::version;

namespace
{

/// Simulates operators who read a generation, wait, apply a change to it and resend it.
class operator_simulation
{
public:
    explicit operator_simulation(std::uint64_t seed)
        : random(seed)
    {
    }

    void step()
    {
        if (!this->sent_operations.empty() && this->random.below(3) == 0)
            this->resend();
        else
            this->apply_new();
        if (this->random.below(20) == 0)
            this->state.restore(std::string(this->state.snapshot()));
    }

    std::uint64_t stored_count = 0;
    std::uint64_t conflict_count = 0;

private:
    struct sent_operation
    {
        apply_configuration body;
        apply_result first_result;
    };

    apply_result commit(apply_configuration const& body)
    {
        auto const before = this->state.shared()->generation;
        this->now += milliseconds(this->random.below(5000));
        auto const result =
            std::get<apply_result>(this->state.apply(++this->index, {this->now, body}));
        RC_ASSERT(this->state.shared()->generation >= before);
        return result;
    }

    void apply_new()
    {
        auto const current = this->state.shared()->generation.value();
        auto const lag = std::min<std::uint64_t>(current, this->random.below(3));
        std::string text;
        for (char service = 'a'; service < 'd'; ++service)
            text += std::string("[service ") + service +
                    "]\nversion = " + std::to_string(this->random.below(4)) + "\n";
        apply_configuration const body{generation(current - lag), "c.ini", text,
                                       operation_id(std::to_string(this->sent_operations.size()))};
        auto const result = this->commit(body);
        RC_ASSERT((result.outcome == apply_outcome::stored) == (lag == 0));
        if (result.outcome == apply_outcome::stored)
        {
            ++this->stored_count;
            RC_ASSERT(this->bases.insert(body.base).second);
        }
        else
        {
            ++this->conflict_count;
            RC_ASSERT(result.winner_operation == this->winners.at(body.base));
        }
        this->winners.emplace(body.base, body.operation);
        this->sent_operations.push_back({body, result});
    }

    void resend()
    {
        auto const& earlier_operation =
            this->sent_operations[this->random.below(this->sent_operations.size())];
        auto const before = this->state.shared()->text;
        auto const resent_result = this->commit(earlier_operation.body);
        RC_ASSERT(this->state.shared()->text == before);
        if (earlier_operation.first_result.outcome == apply_outcome::stored)
        {
            RC_ASSERT(resent_result.outcome == apply_outcome::repeated);
            RC_ASSERT(resent_result.generation == earlier_operation.first_result.generation);
        }
        else
        {
            RC_ASSERT(resent_result.outcome == apply_outcome::conflict);
            RC_ASSERT(resent_result.winner_operation ==
                      earlier_operation.first_result.winner_operation);
        }
    }

    seeded_random random;
    control_state state;
    std::uint64_t index = 0;
    wall_time now{std::chrono::hours(24 * 20000)};
    std::vector<sent_operation> sent_operations;
    std::set<generation> bases;
    std::map<generation, operation_id> winners;
};

} // namespace

TEST_CASE("of concurrent changes one is stored, and each operation keeps its first outcome")
{
    // Guards against lost updates, generations that decrease and operations applied twice.
    rc::prop("over hundreds of changes with snapshots in between",
             [](std::uint64_t seed)
             {
                 operator_simulation simulation(seed);
                 for (int i = 0; i < 300; ++i)
                     simulation.step();
                 RC_ASSERT(simulation.stored_count > 10U);
                 RC_ASSERT(simulation.conflict_count > 10U);
             });
}
