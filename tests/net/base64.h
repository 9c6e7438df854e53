/// Encodes values of the store's items.
#pragma once

#include <sodium.h>

#include <string>

namespace flamingograde {

/// Returns `bytes` in base64 with padding.
inline auto toBase64(const std::string &bytes) -> std::string
{
    std::string text(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(text.data(), text.size(),
                      reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(),
                      sodium_base64_VARIANT_ORIGINAL);
    text.resize(text.find('\0'));
    return text;
}

} // namespace flamingograde
