/// \file
/// \brief Includes Boost.Asio; `<utility>` must precede it in C++20.
#ifndef WIGEONWALL_CONNECTION_ASIO_H
#define WIGEONWALL_CONNECTION_ASIO_H

#include <utility>

#include <boost/asio.hpp>

namespace wigeonwall::connection {
namespace asio = boost::asio;
} // namespace wigeonwall::connection

#endif
