#include "filbertroad/node/internal/usable_address.hpp"

#include "filbertroad/base/utf8.hpp"
#include "filbertroad/net/link.hpp"

namespace filbertroad::node::internal
{

bool is_usable(dispatch::entry_address const& entry, telemetry::event_log& log)
{
    if (entry.name.size() <= max_peer_name_bytes && base::is_utf8(entry.name) &&
        net::is_address(entry.link))
    {
        return true;
    }
    log.write(telemetry::events::bad_input,
              {{"entry", base::to_utf8(entry.name.substr(0, max_peer_name_bytes))},
               {"link", base::to_utf8(entry.link.substr(0, max_peer_name_bytes))},
               {"reason", "unusable address of an entry"}});
    return false;
}

} // namespace filbertroad::node::internal
