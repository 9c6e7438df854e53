/// Names of admissions.
#include <flamingograde/servicestats.h>

namespace flamingograde {

namespace {

/// Names in the order of the values of `Admission`.
constexpr std::array<std::string_view, ServiceStats::admissions> names {
    "admitted", "admitted-by-floor", "refused-by-target", "refused-by-urgency", "refused-by-share"
};

} // namespace

auto toString(Admission admission) -> std::string_view
{
    return names.at(static_cast<std::size_t>(admission));
}

} // namespace flamingograde
