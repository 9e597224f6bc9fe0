#include "vanilladyke/app/log_level.hpp"

namespace vanilladyke {

Severity severityOf(std::string_view level)
{
    if (level == "debug") {
        return Severity::Debug;
    }
    if (level == "warning") {
        return Severity::Warning;
    }
    return level == "error" ? Severity::Error : Severity::Info;
}

} // namespace vanilladyke
