#ifndef FILBERTROAD_WIRE_ID_CONVERSIONS_HPP
#define FILBERTROAD_WIRE_ID_CONVERSIONS_HPP

/// Conversions between the identifiers of `model` and their protobuf messages.

#include "filbertroad/model/job_key.hpp"
#include "filbertroad/wire/link.pb.h"

namespace filbertroad::wire
{

[[nodiscard]] model::process_id to_model(process_id const& id);
[[nodiscard]] process_id to_wire(model::process_id const& id);
[[nodiscard]] model::job_id job_id_of(task_ref const& task);

/// Reference to the task at `index` of `job`.
[[nodiscard]] task_ref make_task_ref(model::job_id const& job, std::uint32_t index);

} // namespace filbertroad::wire

#endif
