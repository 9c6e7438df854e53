/// Parses CBOR without building a document, so that excessive nesting and forged container sizes
/// are rejected before anything is allocated for them.
#include "wire/cborguard.h"

#include <nlohmann/json.hpp>

#include <exception>

namespace flamingograde {

namespace {

using Json = nlohmann::json;

/// SAX handler that limits the nesting depth, and rejects a container that declares more elements
/// than the input has bytes.
class CborValidator : public nlohmann::json_sax<Json>
{
public:
    CborValidator(std::size_t bytes, std::size_t depthMax) : inputBytes(bytes), depthLeft(depthMax)
    {}

    auto null() -> bool override { return true; }
    auto boolean(bool /*value*/) -> bool override { return true; }
    auto number_integer(number_integer_t /*value*/) -> bool override { return true; }
    auto number_unsigned(number_unsigned_t /*value*/) -> bool override { return true; }
    auto number_float(number_float_t /*value*/, const string_t & /*text*/) -> bool override
    {
        return true;
    }
    auto string(string_t & /*value*/) -> bool override { return true; }
    auto binary(binary_t & /*value*/) -> bool override { return true; }
    auto start_object(std::size_t elements) -> bool override { return this->enter(elements); }
    auto key(string_t & /*value*/) -> bool override { return true; }
    auto end_object() -> bool override { return this->leave(); }
    auto start_array(std::size_t elements) -> bool override { return this->enter(elements); }
    auto end_array() -> bool override { return this->leave(); }
    auto parse_error(std::size_t /*position*/, const std::string & /*token*/,
                     const nlohmann::detail::exception & /*error*/) -> bool override
    {
        return false;
    }

private:
    auto enter(std::size_t elements) -> bool
    {
        constexpr auto indefiniteLength = static_cast<std::size_t>(-1);
        if (this->depthLeft == 0 || (elements != indefiniteLength && elements > this->inputBytes)) {
            return false;
        }
        --this->depthLeft;
        return true;
    }
    auto leave() -> bool
    {
        ++this->depthLeft;
        return true;
    }

    std::size_t inputBytes;
    std::size_t depthLeft;
};

} // namespace

auto isSafeCbor(const std::vector<std::uint8_t> &bytes, std::size_t depthMax) -> bool
{
    CborValidator validator(bytes.size(), depthMax);
    try {
        return Json::sax_parse(bytes, &validator, Json::input_format_t::cbor);
    } catch (const std::exception &) {
        return false;
    }
}

} // namespace flamingograde
