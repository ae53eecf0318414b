#ifndef FILBERTROAD_SERVER_ENTRY_API_SERVICE_HPP
#define FILBERTROAD_SERVER_ENTRY_API_SERVICE_HPP

/// Implements the service interface of the HTTP API with the entry core.
///
///     entry_api_service service(core, "pk-central");
///     api::http_api http_api(service, metrics, log, clock, options);
///
/// Thread-safe.

#include "filbertroad/api/entry_service.hpp"
#include "filbertroad/server/entry_core.hpp"

#include <string>

namespace filbertroad::server
{

class entry_api_service final : public api::entry_service
{
public:
    /// Time for a change to be appended to the control log and read back.
    static constexpr std::chrono::milliseconds publish_timeout{5000};

    entry_api_service(entry_core& core, std::string region);

    void submit(wire::submit_request request, api::job_handler handler) override;
    void query(wire::job_query query, api::job_handler handler) override;
    void cancel(wire::job_query query, api::job_handler handler) override;
    void acknowledge(wire::job_query query, api::job_handler handler) override;
    [[nodiscard]] std::optional<wire::team> team_by_token(std::string_view token) const override;
    [[nodiscard]] api::versioned_table table(api::table_kind kind) const override;
    void publish(api::publish_request request, api::change_handler handler) override;
    void set_zone(api::service_state_request request, api::change_handler handler) override;
    void set_target(api::service_state_request request, api::change_handler handler) override;
    void status(api::status_handler handler) override;

private:
    void handle(std::string_view span_name, wire::request request, std::string traceparent,
                api::job_handler handler);
    void append_change(wire::control_record record, std::string const& change_id,
                       std::function<std::uint64_t()> current_version, api::change_handler handler);

    entry_core& core;
    std::string region;
};

} // namespace filbertroad::server

#endif
