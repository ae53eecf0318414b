#include "filbertroad/base/hash.hpp"

#include <openssl/sha.h>
#include <xxhash.h>

namespace filbertroad::base
{

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

std::string sha256(std::string_view text)
{
    std::string digest(SHA256_DIGEST_LENGTH, '\0');
    SHA256(reinterpret_cast<unsigned char const*>(text.data()), text.size(),
           reinterpret_cast<unsigned char*>(digest.data()));
    return digest;
}

} // namespace filbertroad::base
