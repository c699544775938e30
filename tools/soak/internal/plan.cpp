#include <lagoonladder/soak.hpp>

namespace lagoonladder::soak
{

namespace
{

constexpr duration longest_freeze = seconds(5);
/// All entries with a disk may be killed together when they are back within a second.
constexpr duration longest_common_loss = milliseconds(800);

struct weighted_kind
{
    fault_kind kind;
    std::uint64_t weight;
};

std::vector<weighted_kind> const core_kinds = {
    {fault_kind::kill, 4},      {fault_kind::stop, 5},      {fault_kind::terminate, 2},
    {fault_kind::reload, 1},    {fault_kind::lose_disk, 4}, {fault_kind::replace, 3},
    {fault_kind::fill_disk, 2}, {fault_kind::kill_core, 4},
};

std::vector<weighted_kind> const other_kinds = {
    {fault_kind::kill, 4},   {fault_kind::stop, 6},    {fault_kind::terminate, 2},
    {fault_kind::reload, 2}, {fault_kind::replace, 2},
};

fault_kind draw_kind(std::mt19937_64& random, std::vector<weighted_kind> const& kinds)
{
    std::uint64_t total = 0;
    for (auto const& choice : kinds)
        total += choice.weight;
    auto number = draw_number(random, 1, total);
    for (auto const& choice : kinds)
    {
        if (number <= choice.weight)
            return choice.kind;
        number -= choice.weight;
    }
    return kinds.back().kind;
}

duration draw_length(std::mt19937_64& random, fault_kind kind)
{
    switch (kind)
    {
    case fault_kind::stop:
        return draw_duration(random, milliseconds(200), longest_freeze);
    case fault_kind::fill_disk:
        return draw_duration(random, milliseconds(500), seconds(4));
    case fault_kind::kill_core:
        return draw_duration(random, milliseconds(50), longest_common_loss);
    case fault_kind::reload:
        return duration{};
    default:
        return draw_duration(random, milliseconds(50), seconds(2));
    }
}

/// One pause in two is short, for faults in series; in the others, entries are in touch long enough
/// for the checks that ask for it.
duration draw_pause(std::mt19937_64& random, bool is_core)
{
    bool const is_short = draw_number(random, 0, 1) == 0;
    if (is_short)
        return draw_duration(random, duration{}, milliseconds(500));
    return draw_duration(random, seconds(1), is_core ? seconds(8) : seconds(12));
}

} // namespace

std::uint64_t draw_number(std::mt19937_64& random, std::uint64_t low, std::uint64_t high)
{
    return low + random() % (high - low + 1);
}

duration draw_duration(std::mt19937_64& random, duration low, duration high)
{
    auto const range = static_cast<std::uint64_t>((high - low).count());
    return low + duration(static_cast<duration::rep>(draw_number(random, 0, range)));
}

planned_fault draw_fault(std::mt19937_64& random, fault_target target, std::size_t victims)
{
    bool const is_core = target == fault_target::core;
    planned_fault fault;
    fault.kind = draw_kind(random, is_core ? core_kinds : other_kinds);
    fault.victim = draw_number(random, 0, victims - 1);
    fault.length = draw_length(random, fault.kind);
    fault.pause = draw_pause(random, is_core);
    return fault;
}

} // namespace lagoonladder::soak
