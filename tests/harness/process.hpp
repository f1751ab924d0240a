// A process that a test started: ended when this is destroyed, and only ever
// signalled by its own id.
#pragma once

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace waxwingvalve::harness
{

class process
{
public:
    // Standard error goes to the file `log`, appended.
    process(
        const std::filesystem::path& program,
        const std::vector<std::string>& arguments,
        const std::filesystem::path& log);
    ~process();
    process(process&&) noexcept;
    process& operator=(process&&) noexcept;
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    int id() const;
    bool running() const;
    // SIGKILL, SIGSTOP, SIGCONT and SIGTERM.
    void kill();
    void freeze();
    void thaw();
    void terminate();
    // Exit status after terminate() or its own end; blocks.
    int wait();

private:
    struct state;
    std::unique_ptr<state> state_;
};

struct finished_process
{
    int exit_status{};
    std::string output{};
    std::string errors{};
};

// Runs a program to its end.
finished_process run_process(
    const std::filesystem::path& program,
    const std::vector<std::string>& arguments);

} // namespace waxwingvalve::harness
