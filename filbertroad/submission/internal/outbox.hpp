#ifndef FILBERTROAD_SUBMISSION_INTERNAL_OUTBOX_HPP
#define FILBERTROAD_SUBMISSION_INTERNAL_OUTBOX_HPP

/// Collects the actions of an owner in order. Acknowledgements to the same agent are combined into
/// one message, because results arrive in bursts.

#include "filbertroad/submission/internal/errors.hpp"
#include "filbertroad/submission/shard_owner.hpp"

#include <map>
#include <utility>
#include <vector>

namespace filbertroad::submission::internal
{

class outbox
{
public:
    void add(action next) { this->actions.push_back(std::move(next)); }
    void answer(std::uint64_t request_number, wire::job_report report);
    void answer(std::uint64_t request_number, wire::request_error error);
    void refuse(std::uint64_t request_number, error_code code, std::string_view detail);
    void acknowledge(model::process_id const& agent, wire::task_ref const& task);
    /// Returns the actions since the last call, acknowledgements last.
    [[nodiscard]] std::vector<action> take();

private:
    std::vector<action> actions;
    std::map<model::process_id, wire::finished_ack> acknowledgements;
};

} // namespace filbertroad::submission::internal

#endif
