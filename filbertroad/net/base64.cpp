#include "filbertroad/net/base64.hpp"

#include <algorithm>
#include <openssl/evp.h>

namespace filbertroad::net
{
namespace
{

bool is_base64_digit(char c)
{
    return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '+' ||
           c == '/';
}

} // namespace

std::string encode_base64(std::string_view bytes)
{
    // EVP_EncodeBlock writes a terminating zero after the text.
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    reinterpret_cast<unsigned char const*>(bytes.data()),
                    static_cast<int>(bytes.size()));
    text.pop_back();
    return text;
}

std::optional<std::string> decode_base64(std::string_view text)
{
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
    {
        ++padding;
    }
    // EVP_DecodeBlock skips white space at both ends and accepts '=' at any position. The digits
    // are therefore checked here.
    auto const digits = text.substr(0, text.size() - padding);
    if (text.size() % 4 != 0 || !std::all_of(digits.begin(), digits.end(), is_base64_digit))
    {
        return std::nullopt;
    }
    std::string bytes(text.size() / 4 * 3, '\0');
    auto const size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                      reinterpret_cast<unsigned char const*>(text.data()),
                                      static_cast<int>(text.size()));
    if (size < 0 || static_cast<std::size_t>(size) != bytes.size())
    {
        return std::nullopt;
    }
    bytes.resize(bytes.size() - padding);
    return bytes;
}

} // namespace filbertroad::net
