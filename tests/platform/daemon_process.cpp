#include "platform/daemon_process.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/process/extend.hpp>
#include <fmt/format.h>

#include "harness/loopback.hpp"

namespace waxwingvalve::tests
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds step{5};
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool limits_address_space = false;
#else
constexpr bool limits_address_space = true;
#endif

// Addresses of the daemon, and of the one before it as the seed.
std::string settings_of(
    int number,
    const std::string& host,
    const base::endpoint& store,
    int memory_mb)
{
    const auto at = [&host](daemon_port port)
    { return fmt::format("{}:{}", host, static_cast<int>(port)); };
    return fmt::format(
        R"({{"schema_version": 1, "name": "entry-{}", "region": "addis",
"zone": "addis-a", "caller_address": "{}", "readiness_address": "{}",
"lookup_address": "{}", "control_address": "{}", "peer_port": {},
"seeds": ["{}:{}"], "zones": [{{"zone": "addis-a", "region": "addis"}}],
"store_address": "{}", "lookup_lifetime": "1s", "stop_time": "4s",
"retry_ratio": 0.2, "retry_window": "10s", "retry_allowance": 100,
{}"log_level": "info"}})",
        number,
        at(daemon_port::callers),
        at(daemon_port::readiness),
        at(daemon_port::lookups),
        at(daemon_port::control),
        static_cast<int>(daemon_port::peers),
        own_host(std::max(number - 1, 0)),
        static_cast<int>(daemon_port::control),
        to_string(store),
        memory_mb > 0 ? fmt::format(R"("memory_mb": {}, )", memory_mb) : "");
}

} // namespace

daemon_process::daemon_process(
    asio::io_context& loop, fake_store& store, int number)
    : loop_{loop}, store_{store}, number_{number}, host_{own_host(number)},
      folder_{
          std::filesystem::temp_directory_path() /
          fmt::format("daemon-{}-{}", ::getpid(), number)}
{
    std::filesystem::create_directories(folder_);
    write_settings(host_);
}

daemon_process::~daemon_process()
{
    if (running())
    {
        send(SIGKILL);
    }
    std::error_code ignored;
    child_.wait(ignored);
    std::filesystem::remove_all(folder_, ignored);
}

base::endpoint daemon_process::address(daemon_port of) const
{
    return {host_, static_cast<std::uint16_t>(of)};
}

void daemon_process::write_settings(const std::string& address) const
{
    std::ofstream{settings_path()}
        << settings_of(number_, address, store_.address(), memory_mb_);
}

void daemon_process::set_program(std::filesystem::path program)
{
    program_ = std::move(program);
}

void daemon_process::limit_memory(std::uint64_t bytes)
{
    constexpr std::uint64_t bytes_per_mb = 1024 * 1024;
    if (!limits_address_space)
    {
        set_memory_mb(static_cast<int>(bytes / bytes_per_mb));
        return;
    }
    memory_limit_ = bytes;
}

void daemon_process::set_memory_mb(int mb)
{
    memory_mb_ = mb;
    write_settings(host_);
}

std::filesystem::path daemon_process::settings_path() const
{
    return folder_ / "settings.json";
}

void daemon_process::start()
{
    namespace bp = boost::process;
    std::FILE* out = std::fopen((folder_ / "log").c_str(), "a");
    child_ = bp::child{
        program_.string(),
        bp::args({"--settings", settings_path().string()}),
        bp::std_in<bp::null, bp::std_out> out,
        bp::std_err > out,
        bp::limit_handles,
        bp::extend::on_exec_setup = [limit = memory_limit_](auto&)
        {
            if (limit)
            {
                const rlimit most{*limit, *limit};
                ::setrlimit(RLIMIT_AS, &most);
            }
        }};
    if (out != nullptr)
    {
        static_cast<void>(std::fclose(out));
    }
}

void daemon_process::send(int signal)
{
    if (running())
    {
        ::kill(child_.id(), signal);
    }
}

bool daemon_process::running()
{
    std::error_code ignored;
    return child_.valid() && child_.running(ignored);
}

std::optional<int> daemon_process::end_status()
{
    if (running())
    {
        return std::nullopt;
    }
    const int status = child_.native_exit_code();
    return WIFSIGNALED(status) ? 128 + WTERMSIG(status) : WEXITSTATUS(status);
}

std::uint64_t daemon_process::resident_bytes() const
{
    std::ifstream sizes{fmt::format("/proc/{}/statm", child_.id())};
    std::uint64_t all_pages{0};
    std::uint64_t resident_pages{0};
    sizes >> all_pages >> resident_pages;
    return resident_pages * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

std::string daemon_process::log() const
{
    std::ostringstream text;
    text << std::ifstream{folder_ / "log"}.rdbuf();
    return text.str();
}

std::string daemon_process::get(daemon_port port, const std::string& target)
{
    tcp::socket socket{loop_};
    const auto where = address(port);
    error_code failure;
    socket.connect(
        {asio::ip::make_address(where.address), where.port}, failure);
    if (failure)
    {
        return {};
    }
    asio::write(
        socket,
        asio::buffer(fmt::format(
            "GET {} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", target)),
        failure);
    std::string response;
    bool ended = false;
    asio::async_read(
        socket,
        asio::dynamic_buffer(response),
        [&ended](const error_code&, std::size_t) { ended = true; });
    for (int i = 0; i < 60 && !ended; ++i)
    {
        run_for(step);
    }
    socket.close(failure);
    while (!ended)
    {
        run_for(step);
    }
    return response;
}

bool daemon_process::ready()
{
    return get(daemon_port::readiness, "/waxwingvalve/ready")
        .starts_with("HTTP/1.1 200");
}

std::string daemon_process::lookup()
{
    const auto response =
        get(daemon_port::lookups,
            "/waxwingvalve/resolve?name=a&region=addis&zone=addis-a");
    const auto head_end = response.find("\r\n\r\n");
    return head_end == std::string::npos ? std::string{}
                                         : response.substr(head_end + 4);
}

bool daemon_process::wait_until(
    std::chrono::milliseconds time, const std::function<bool()>& condition)
{
    const auto end = base::monotonic_clock::now() + time;
    while (!condition())
    {
        if (base::monotonic_clock::now() >= end)
        {
            return false;
        }
        run_for(10ms);
    }
    return true;
}

void daemon_process::run_for(std::chrono::milliseconds time)
{
    loop_.restart();
    loop_.run_for(time);
}

} // namespace waxwingvalve::tests
