#ifndef FILBERTROAD_CONTROL_INTERNAL_MEMBERSHIP_ROUND_HPP
#define FILBERTROAD_CONTROL_INTERNAL_MEMBERSHIP_ROUND_HPP

/// Definitions shared by the sources of class membership.

#include "filbertroad/control/membership.hpp"

#include <string>
#include <vector>

namespace filbertroad::control
{
namespace internal
{

[[nodiscard]] inline std::string describe(model::process_id const& id)
{
    return id.name + "/" + std::to_string(id.incarnation);
}

} // namespace internal

/// The inputs and results of one call of membership::decide().
struct membership::round
{
    control_state const& state;
    base::steady_time now;
    base::system_time wall;
    /// Members with link traffic within member_timeout, including this entry.
    std::vector<model::process_id> live_members;
    bool has_live_majority = false;
    std::vector<wire::control_record> records;

    wire::control_record& add_record()
    {
        auto& record = this->records.emplace_back();
        record.set_written_unix_ms(base::to_unix_ms(this->wall));
        return record;
    }
};

} // namespace filbertroad::control

#endif
