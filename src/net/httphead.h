/// The head of an HTTP answer.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace flamingograde::net {

/// Status and headers of an answer.
struct HttpHead
{
    using Header = std::pair<std::string, std::string>; ///< Name in lower case, and value.

    int status = 0;
    std::vector<Header> headers;              ///< Without `content-length`.
    std::optional<std::size_t> contentLength; ///< Missing where the length is not known.

    /// Returns the value of the first header `name` (lower case); empty for none.
    /// @remarks Thread safe for readers.
    [[nodiscard]] auto header(std::string_view name) const -> std::string_view
    {
        for (const auto &[key, value] : this->headers) {
            if (key == name) {
                return value;
            }
        }
        return {};
    }
};

} // namespace flamingograde::net
