/// The head of an HTTP response.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace flamingograde::net {

/// Status and headers of a response.
struct HttpHead
{
    using Header = std::pair<std::string, std::string>; ///< Name in lower case, and value.

    int status = 0;
    std::vector<Header> headers;              ///< Without `content-length`.
    std::optional<std::size_t> contentLength; ///< Empty if the length is unknown.

    /// Returns the value of the first header `name` (lower case); empty if there is none.
    /// @remarks Safe for concurrent readers.
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
