#ifndef FILBERTROAD_MODEL_RESOURCES_HPP
#define FILBERTROAD_MODEL_RESOURCES_HPP

/// Resources of a target or a task as a vector: processor, memory and accelerators.
///
///     model::resources free = capacity;
///     if (free.can_fit(task)) free -= task;

#include <cstdint>

namespace filbertroad::model
{

struct resources
{
    /// Thousandths of a core.
    std::int64_t cpu = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    /// Whether `part` is at most this vector in every dimension.
    [[nodiscard]] bool can_fit(resources const& part) const
    {
        return this->cpu >= part.cpu && this->memory_mb >= part.memory_mb &&
               this->accelerators >= part.accelerators;
    }

    resources& operator+=(resources const& other)
    {
        this->cpu += other.cpu;
        this->memory_mb += other.memory_mb;
        this->accelerators += other.accelerators;
        return *this;
    }

    resources& operator-=(resources const& other)
    {
        this->cpu -= other.cpu;
        this->memory_mb -= other.memory_mb;
        this->accelerators -= other.accelerators;
        return *this;
    }

    friend bool operator==(resources const&, resources const&) = default;
};

} // namespace filbertroad::model

#endif
