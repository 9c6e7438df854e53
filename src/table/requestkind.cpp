/// Names of the request kinds in the table.
#include <flamingograde/requestkind.h>

namespace flamingograde {

auto toString(RequestKind kind) -> std::string_view
{
    switch (kind) {
    case RequestKind::Feed:
        return "feed";
    case RequestKind::Request:
        return "request";
    case RequestKind::Upload:
        return "upload";
    }
    return "request";
}

} // namespace flamingograde
