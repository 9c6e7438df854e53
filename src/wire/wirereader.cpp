/// Checks of the type and size of decoded values.
#include "wire/wirereader.h"

#include <algorithm>

namespace flamingograde {

namespace {

using Json = nlohmann::json;

constexpr std::size_t nameBytesMax = 255;

const Json missingField;
const Json emptyArray = Json::array();

auto isControl(char character) -> bool
{
    const auto byte = static_cast<unsigned char>(character);
    return byte < 0x20U || byte == 0x7fU;
}

} // namespace

auto WireReader::field(const Json &map, const char *key) -> const Json &
{
    const auto found = map.find(key);
    if (found == map.end()) {
        this->fail(std::string("field ") + key + " is missing");
        return missingField;
    }
    return *found;
}

auto WireReader::number(const Json &value, std::uint64_t max) -> std::uint64_t
{
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max) {
        this->fail("not an unsigned integer, or out of range");
        return 0;
    }
    return value.get<std::uint64_t>();
}

auto WireReader::signedNumber(const Json &value) -> std::int64_t
{
    constexpr auto int64Max = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (value.is_number_unsigned()) {
        return static_cast<std::int64_t>(this->number(value, int64Max));
    }
    if (!value.is_number_integer()) {
        this->fail("not an integer");
        return 0;
    }
    return value.get<std::int64_t>();
}

auto WireReader::flag(const Json &value) -> bool
{
    if (!value.is_boolean()) {
        this->fail("not a boolean value");
        return false;
    }
    return value.get<bool>();
}

auto WireReader::text(const Json &value, std::size_t bytesMax) -> std::string
{
    if (!value.is_string() || value.get_ref<const std::string &>().size() > bytesMax) {
        this->fail("not a string, or too long");
        return {};
    }
    return value.get<std::string>();
}

auto WireReader::name(const Json &value) -> std::string
{
    auto result = this->text(value, nameBytesMax);
    if (result.empty() || std::any_of(result.begin(), result.end(), isControl)) {
        this->fail("not a name: empty or with control characters");
    }
    return result;
}

auto WireReader::list(const Json &value, std::size_t sizeMax) -> const Json &
{
    if (!value.is_array() || value.size() > sizeMax) {
        this->fail("not an array, or too many elements");
        return emptyArray;
    }
    return value;
}

auto WireReader::tuple(const Json &value, std::size_t size) -> const Json *
{
    if (!value.is_array() || value.size() != size) {
        this->fail("not an array of size " + std::to_string(size));
        return nullptr;
    }
    return &value;
}

auto WireReader::fail(const std::string &what) -> void
{
    if (this->firstFault.empty()) {
        this->firstFault = what;
    }
}

} // namespace flamingograde
