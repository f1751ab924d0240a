// Asio and Beast are compiled once, here; every other file sees declarations.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
