#include "vanilladyke/model/ids.hpp"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

namespace vanilladyke {

std::string newUuid()
{
    thread_local boost::uuids::random_generator generator;
    return boost::uuids::to_string(generator());
}

} // namespace vanilladyke
