#ifndef FILBERTROAD_NET_INTERNAL_RUN_UNTIL_HPP
#define FILBERTROAD_NET_INTERNAL_RUN_UNTIL_HPP

/// Runs an event loop until a condition holds; for tests.
///
///     ASSERT_TRUE(internal::run_until(io, [&] { return opened; }));

#include <boost/asio/io_context.hpp>
#include <chrono>

namespace filbertroad::net::internal
{

/// Runs handlers of `io` until `done()` returns true. Returns false after 30 s, a limit that only a
/// hang reaches.
template <class Predicate>
bool run_until(boost::asio::io_context& io, Predicate done)
{
    auto const limit = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!done())
    {
        io.restart();
        if (io.run_one_until(limit) == 0 && std::chrono::steady_clock::now() >= limit)
        {
            return done();
        }
    }
    return true;
}

} // namespace filbertroad::net::internal

#endif
