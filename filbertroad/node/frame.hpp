#ifndef FILBERTROAD_NODE_FRAME_HPP
#define FILBERTROAD_NODE_FRAME_HPP

/// Content of one link message between an entry and an agent, or between two entries, in the types
/// of the dispatch library. The functions convert it to and from the wire format.
///
///     node::frame out;
///     out.starts.push_back(order);
///     link->send(node::encode_frame(out));

#include "filbertroad/dispatch/control_snapshot.hpp"
#include "filbertroad/dispatch/messages.hpp"
#include "filbertroad/wire/link.pb.h"

#include <optional>
#include <string>
#include <vector>

namespace filbertroad::node
{

/// Version of the link protocol of this program, sent in the first frame of a link. Version 1 adds
/// orders that share a payload and statuses without details; version 2, resumed orders that share
/// one; version 3, requests for snapshots.
inline constexpr std::uint32_t protocol_version = 3;

/// Peers of earlier versions do not ask for snapshots, and get each one unasked.
inline constexpr std::uint32_t snapshot_request_protocol = 3;

struct frame
{
    /// Identity of the sending agent; set in the first frame of its link.
    std::optional<dispatch::process_id> sender_agent;
    /// Identity of the sending entry; set in the first frame that it sends on a link.
    std::optional<dispatch::process_id> sender_entry;
    /// Protocol version of the sender; set together with its identity.
    std::uint32_t sender_protocol = 0;
    std::vector<dispatch::start_order> starts;
    std::optional<std::vector<dispatch::start_order>> resume;
    std::vector<dispatch::run_id> cancels;
    std::vector<dispatch::run_id> acknowledged;
    std::optional<dispatch::target_status> status;
    /// Whether `status` has the details that seldom change: service, zone, capacity and class load.
    /// Statuses without them are only sent to receivers of protocol version 1 or later.
    bool has_status_details = true;
    std::optional<dispatch::entry_heartbeat> heartbeat;
    std::vector<dispatch::run_report> reports;
    std::optional<dispatch::control_snapshot> snapshot;
    /// The receiver is to send its snapshot.
    bool wants_snapshot = false;
    std::vector<dispatch::entry_address> entries;
    std::vector<dispatch::cancel_query> cancel_queries;
    std::vector<dispatch::cancel_reply> cancel_replies;
    /// Names of the entries to which the sending agent is linked, if they have changed.
    std::optional<std::vector<std::string>> linked_entries;
    /// In the hello of an entry: the link is used for cancels only.
    bool for_cancels = false;
};

/// `receiver_protocol` is the protocol version of the receiver; 0 if it is not known yet.
[[nodiscard]] wire::link_message encode_frame(frame const& content,
                                              std::uint32_t receiver_protocol = 0);

/// Which process receives a frame.
enum class frame_receiver
{
    agent,
    /// Orders are left out: only agents carry them out.
    entry,
};

/// Returns the frame in `message`; nothing if the message carries none or a malformed one, or names
/// and texts that are longer than any process sends.
[[nodiscard]] std::optional<frame> decode_frame(wire::link_message const& message,
                                                frame_receiver receiver = frame_receiver::agent);

} // namespace filbertroad::node

#endif
