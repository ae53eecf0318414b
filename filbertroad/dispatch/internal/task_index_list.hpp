#ifndef FILBERTROAD_DISPATCH_INTERNAL_TASK_INDEX_LIST_HPP
#define FILBERTROAD_DISPATCH_INTERNAL_TASK_INDEX_LIST_HPP

/// Indexes of the tasks of a job that are in one state, in ascending order. A job of thousands of
/// tasks is checked often, and only few of its tasks can change then.
///
///     task_index_list waiting;
///     waiting.insert(3);
///     for (auto next = waiting.first_from(0); next; next = waiting.first_from(*next + 1)) ...
///
/// The list may change during such a loop. Not thread-safe.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace filbertroad::dispatch::internal
{

class task_index_list
{
public:
    /// Precondition: `index` is not in the list.
    void insert(std::uint32_t index)
    {
        this->indexes.insert(std::lower_bound(this->indexes.begin(), this->indexes.end(), index),
                             index);
    }

    /// Precondition: `index` is in the list.
    void erase(std::uint32_t index)
    {
        this->indexes.erase(std::lower_bound(this->indexes.begin(), this->indexes.end(), index));
    }

    /// Least index that is not below `index`; nothing if there is none.
    [[nodiscard]] std::optional<std::uint32_t> first_from(std::uint32_t index) const
    {
        auto const found = std::lower_bound(this->indexes.begin(), this->indexes.end(), index);
        return found == this->indexes.end() ? std::nullopt : std::optional(*found);
    }

    [[nodiscard]] bool empty() const { return this->indexes.empty(); }
    [[nodiscard]] std::size_t size() const { return this->indexes.size(); }

private:
    std::vector<std::uint32_t> indexes;
};

} // namespace filbertroad::dispatch::internal

#endif
