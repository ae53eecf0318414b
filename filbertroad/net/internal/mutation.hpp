#ifndef FILBERTROAD_NET_INTERNAL_MUTATION_HPP
#define FILBERTROAD_NET_INTERNAL_MUTATION_HPP

/// Mutated input for tests: flips, cuts, repeats and inserts bytes, by a seeded generator.
///
///     std::mt19937_64 random(7);
///     auto bad = internal::mutate(good, random);

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>

namespace filbertroad::net::internal
{

/// `input` with one to eight changes.
inline std::string mutate(std::string input, std::mt19937_64& random)
{
    auto const below = [&](std::size_t limit) { return limit == 0 ? 0 : random() % limit; };
    for (auto changes = 1 + below(8); changes > 0; --changes)
    {
        auto const at = below(input.size() + 1);
        auto const size = std::min<std::size_t>(1 + below(40), input.size() - at);
        switch (below(6))
        {
        case 0:
            input.erase(at, size);
            break;
        case 1:
            input.insert(at, input.substr(below(input.size() + 1), size));
            break;
        case 2:
            input.resize(at);
            break;
        case 3:
            input.insert(at, 1 + below(3), static_cast<char>(random()));
            break;
        default:
            if (at < input.size())
            {
                input[at] =
                    static_cast<char>(below(2) == 0 ? input[at] ^ (1U << below(8)) : random());
            }
            break;
        }
    }
    return input;
}

} // namespace filbertroad::net::internal

#endif
