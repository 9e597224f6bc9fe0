#include "vanilladyke/model/ids.hpp"

#include <xxhash.h>

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

namespace vanilladyke {

std::string newUuid()
{
    thread_local boost::uuids::random_generator generator;
    return boost::uuids::to_string(generator());
}

std::uint64_t hashOfName(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

} // namespace vanilladyke
