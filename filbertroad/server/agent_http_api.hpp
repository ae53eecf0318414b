#ifndef FILBERTROAD_SERVER_AGENT_HTTP_API_HPP
#define FILBERTROAD_SERVER_AGENT_HTTP_API_HPP

/// The HTTP API of an agent: `POST /v1/announce` and `POST /v1/leaving` for its target, and
/// `GET /metrics`.
///
///     auto target = parse_announcement(body);
///     if (!target) return bad_request(target.error().detail);

#include "filbertroad/base/result.hpp"
#include "filbertroad/net/http.hpp"
#include "filbertroad/wire/link.pb.h"

#include <chrono>
#include <functional>
#include <string>
#include <string_view>

namespace filbertroad::server
{

enum class announcement_error
{
    syntax,
    bad_field,
};

/// Maximum number of slots and of labels of one target.
inline constexpr std::uint32_t max_target_slots = 4096;
inline constexpr std::size_t max_target_labels = 64;

/// Parses `{"name":..., "service":..., "address":"IP:PORT", "slots":8, "labels":[...]}`; `labels`
/// may be absent. A target announces itself at least once a second while it accepts tasks. After
/// `POST /v1/leaving` it sends no more announcements, or adds `"leaving":true` to them. The error
/// names the invalid field.
[[nodiscard]] base::result<wire::target_description, base::error<announcement_error>>
parse_announcement(std::string_view body);

struct agent_http_callbacks
{
    /// Returns false if another target is announced to this agent already.
    std::function<bool(wire::target_description const&)> announcement_received;
    std::function<void()> leaving_received;
    /// Returns the number of tasks that run on the target.
    std::function<std::size_t()> running_tasks;
    /// Returns the metrics in Prometheus text format.
    std::function<std::string()> metrics;
};

/// Handles one request and returns the response.
[[nodiscard]] net::http_response handle_agent_request(net::http_request const& request,
                                                      agent_http_callbacks const& callbacks);

} // namespace filbertroad::server

#endif
