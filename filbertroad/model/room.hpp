#ifndef FILBERTROAD_MODEL_ROOM_HPP
#define FILBERTROAD_MODEL_ROOM_HPP

/// Room on a target as a vector: processor, memory and accelerators.
///
///     model::room free = capacity;
///     if (free.holds(task)) free -= task;

#include <cstdint>

namespace filbertroad::model
{

struct room
{
    /// Thousandths of a core.
    std::int64_t cpu = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    /// Whether `part` fits in every dimension.
    [[nodiscard]] bool holds(room const& part) const
    {
        return this->cpu >= part.cpu && this->memory_mb >= part.memory_mb &&
               this->accelerators >= part.accelerators;
    }

    room& operator+=(room const& other)
    {
        this->cpu += other.cpu;
        this->memory_mb += other.memory_mb;
        this->accelerators += other.accelerators;
        return *this;
    }

    room& operator-=(room const& other)
    {
        this->cpu -= other.cpu;
        this->memory_mb -= other.memory_mb;
        this->accelerators -= other.accelerators;
        return *this;
    }

    friend bool operator==(room const&, room const&) = default;
};

} // namespace filbertroad::model

#endif
