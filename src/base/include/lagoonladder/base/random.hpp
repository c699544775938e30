#ifndef LAGOONLADDER_BASE_RANDOM_HPP
#define LAGOONLADDER_BASE_RANDOM_HPP

#include <cstdint>
#include <string_view>

namespace lagoonladder
{

/// Source of random numbers, passed to every function that needs them, so that tests are
/// repeatable.
class random_source
{
public:
    virtual ~random_source() = default;
    /// Returns 64 uniformly distributed bits.
    virtual std::uint64_t next() = 0;

    /// Returns a uniformly distributed number in [0, bound). `bound` must be positive.
    std::uint64_t below(std::uint64_t bound);

    /// Returns a uniformly distributed number in [0, 1).
    double unit();
};

/// SplitMix64; the same seed gives the same numbers on every machine.
class seeded_random : public random_source
{
public:
    explicit seeded_random(std::uint64_t seed)
        : state(seed)
    {
    }
    std::uint64_t next() override;

private:
    std::uint64_t state;
};

/// 64-bit FNV-1a with a final mix; the same on every machine, so that processes
/// agree on rendezvous orders and version shares.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

} // namespace lagoonladder

#endif
