// Compiles Boost.JSON, because this Boost version is packaged without a shared library for it. The
// file contains nothing else: if another library has such a file too, the linker takes one copy.
#include <boost/json/src.hpp>
