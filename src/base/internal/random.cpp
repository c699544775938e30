#include <lagoonladder/base/random.hpp>

namespace lagoonladder
{

namespace
{

__extension__ using uint128 = unsigned __int128;

/// Final mixing step of SplitMix64.
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

} // namespace

std::uint64_t random_source::below(std::uint64_t bound)
{
    return static_cast<std::uint64_t>((static_cast<uint128>(this->next()) * bound) >> 64);
}

double random_source::unit()
{
    return static_cast<double>(this->next() >> 11) * 0x1.0p-53;
}

std::uint64_t seeded_random::next()
{
    this->state += 0x9e3779b97f4a7c15ULL;
    return mix(this->state);
}

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL ^ mix(seed + 0x9e3779b97f4a7c15ULL);
    for (unsigned char const byte : text)
        hash = (hash ^ byte) * 0x100000001b3ULL;
    return mix(hash);
}

} // namespace lagoonladder
