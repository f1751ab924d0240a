// A stand-in for upstream workers: one process serves one or several, each
// on an address of its own. GET /control on a worker's address tells its runs
// and highest concurrency, POST /control sets its faults (worker.hpp).
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <tclap/CmdLine.h>

#include "base/endpoint.hpp"
#include "stand_ins/upstream/worker.hpp"

int main(int argc, char** argv)
{
    using namespace waxwingvalve;
    TCLAP::CmdLine command{"A stand-in for upstream workers."};
    const TCLAP::MultiArg<std::string> listen{
        "l", "listen", "a worker's address", true, "IP:PORT", command};
    const TCLAP::ValueArg<std::uint32_t> slots{
        "n", "slots", "requests at once", false, 4, "NUMBER", command};
    const TCLAP::ValueArg<std::uint64_t> seed{
        "s", "seed", "of the random numbers", false, 1, "NUMBER", command};
    command.parse(argc, argv);

    boost::asio::io_context context{1};
    std::vector<std::unique_ptr<stand_ins::worker>> workers;
    for (const auto& text : listen.getValue())
    {
        const auto where = base::parse_endpoint(text);
        if (!where)
        {
            std::cerr << to_string(where.error()) << '\n';
            return EXIT_FAILURE;
        }
        workers.push_back(std::make_unique<stand_ins::worker>(
            context,
            where.value(),
            slots.getValue(),
            seed.getValue() + workers.size()));
        if (auto listening = workers.back()->listen(); !listening)
        {
            std::cerr << to_string(listening.error()) << '\n';
            return EXIT_FAILURE;
        }
    }
    boost::asio::signal_set signals{context, SIGTERM, SIGINT};
    signals.async_wait([&](const boost::system::error_code&, int)
                       { context.stop(); });
    context.run();
    return EXIT_SUCCESS;
}
