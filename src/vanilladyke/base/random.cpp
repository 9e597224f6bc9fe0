#include "vanilladyke/base/random.hpp"

namespace vanilladyke {

std::uint64_t entropySeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) ^ device();
}

double uniform(Random &random)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

std::uint64_t uniformBelow(Random &random, std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random);
}

} // namespace vanilladyke
