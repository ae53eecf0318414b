#ifndef FILBERTROAD_NET_INTERNAL_MUTATION_HPP
#define FILBERTROAD_NET_INTERNAL_MUTATION_HPP

/// Mutates input for fuzz tests: flips, removes, repeats and inserts bytes. Reproducible with a
/// seeded generator.
///
///     std::mt19937_64 random(7);
///     auto bad = internal::mutate(good, random);

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>

namespace filbertroad::net::internal
{

/// Returns `input` with one to eight random changes.
inline std::string mutate(std::string input, std::mt19937_64& random)
{
    auto const random_below = [&](std::size_t limit) { return limit == 0 ? 0 : random() % limit; };
    for (auto remaining_changes = 1 + random_below(8); remaining_changes > 0; --remaining_changes)
    {
        auto const position = random_below(input.size() + 1);
        auto const size = std::min<std::size_t>(1 + random_below(40), input.size() - position);
        switch (random_below(6))
        {
        case 0:
            input.erase(position, size);
            break;
        case 1:
            input.insert(position, input.substr(random_below(input.size() + 1), size));
            break;
        case 2:
            input.resize(position);
            break;
        case 3:
            input.insert(position, 1 + random_below(3), static_cast<char>(random()));
            break;
        default:
            if (position < input.size())
            {
                input[position] = static_cast<char>(
                    random_below(2) == 0 ? input[position] ^ (1U << random_below(8)) : random());
            }
            break;
        }
    }
    return input;
}

} // namespace filbertroad::net::internal

#endif
