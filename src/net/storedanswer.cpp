/// CBOR encoding of a stored answer.
#include "net/storedanswer.h"

#include <nlohmann/json.hpp>

namespace flamingograde::net {

auto StoredAnswer::encode() const -> std::string
{
    const nlohmann::json::binary_t bytes(std::vector<std::uint8_t>(body.begin(), body.end()));
    const nlohmann::json whole { { "status", this->head.status },
                                 { "headers", this->head.headers },
                                 { "body", bytes } };
    std::string text;
    nlohmann::json::to_cbor(whole, text);
    return text;
}

auto StoredAnswer::decode(const std::string &text) -> std::optional<StoredAnswer>
{
    const auto whole = nlohmann::json::from_cbor(text, true, false);
    if (!whole.is_object() || !whole.contains("body") || !whole["body"].is_binary()) {
        return std::nullopt;
    }
    StoredAnswer answer;
    const auto &bytes = whole["body"].get_binary();
    answer.body.assign(bytes.begin(), bytes.end());
    try {
        answer.head.status = whole.at("status").get<int>();
        answer.head.headers = whole.at("headers").get<std::vector<HttpHead::Header>>();
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
    answer.head.contentLength = answer.body.size();
    return answer;
}

} // namespace flamingograde::net
