#ifndef FILBERTROAD_NODE_FRAME_HPP
#define FILBERTROAD_NODE_FRAME_HPP

/// What one process tells another in one message, in the types of the decisions.
///
///     node::frame out;
///     out.starts.push_back(order);
///     link->send(node::to_message(out));

#include "filbertroad/dispatch/control_snapshot.hpp"
#include "filbertroad/dispatch/messages.hpp"
#include "filbertroad/wire/link.pb.h"

#include <optional>
#include <vector>

namespace filbertroad::node
{

struct frame
{
    /// The sender is this agent; first frame of its link.
    std::optional<dispatch::process_identity> agent;
    /// The sender is this entry; first frame of its answers.
    std::optional<dispatch::process_identity> entry;
    std::vector<dispatch::start_order> starts;
    std::optional<std::vector<dispatch::start_order>> resume;
    std::vector<dispatch::run_id> cancels;
    std::vector<dispatch::run_id> acknowledged;
    std::optional<dispatch::target_status> load;
    std::optional<dispatch::entry_heartbeat> echo;
    std::vector<dispatch::run_report> reports;
    std::optional<dispatch::control_snapshot> snapshot;
    std::vector<dispatch::entry_address> entries;
};

[[nodiscard]] wire::link_message to_message(frame const& content);

/// The frame in `message`; empty if the message holds none.
[[nodiscard]] std::optional<frame> to_frame(wire::link_message const& message);

} // namespace filbertroad::node

#endif
