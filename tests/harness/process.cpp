#include "harness/process.hpp"

#include <csignal>
#include <cstdio>
#include <iterator>

#include <boost/process.hpp>

namespace waxwingvalve::harness
{

namespace bp = boost::process;

struct process::state
{
    bp::child child;
};

process::process(
    const std::filesystem::path& program,
    const std::vector<std::string>& arguments,
    const std::filesystem::path& log)
    : state_{std::make_unique<state>()}
{
    std::FILE* errors = std::fopen(log.c_str(), "a");
    state_->child = bp::child{
        program.string(),
        bp::args(arguments),
        bp::std_in<bp::null, bp::std_out> bp::null,
        bp::std_err > errors};
    if (errors != nullptr)
    {
        static_cast<void>(std::fclose(errors));
    }
}

process::process(process&&) noexcept = default;

process& process::operator=(process&& other) noexcept
{
    if (state_ && state_->child.running())
    {
        kill();
    }
    state_ = std::move(other.state_);
    return *this;
}

process::~process()
{
    if (state_ && state_->child.running())
    {
        kill();
    }
}

int process::id() const
{
    return state_->child.id();
}

bool process::running() const
{
    return state_->child.running();
}

void process::kill()
{
    ::kill(id(), SIGKILL);
    state_->child.wait();
}

void process::freeze()
{
    ::kill(id(), SIGSTOP);
}

void process::thaw()
{
    ::kill(id(), SIGCONT);
}

void process::terminate()
{
    ::kill(id(), SIGTERM);
}

int process::wait()
{
    state_->child.wait();
    return state_->child.exit_code();
}

finished_process run_process(
    const std::filesystem::path& program,
    const std::vector<std::string>& arguments)
{
    bp::ipstream output;
    bp::ipstream errors;
    bp::child child{
        program.string(),
        bp::args(arguments),
        bp::std_in<bp::null, bp::std_out> output,
        bp::std_err > errors};
    finished_process out;
    out.output = {std::istreambuf_iterator<char>{output}, {}};
    out.errors = {std::istreambuf_iterator<char>{errors}, {}};
    child.wait();
    out.exit_status = child.exit_code();
    return out;
}

} // namespace waxwingvalve::harness
