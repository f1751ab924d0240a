// Settings of the two programs: aggregate types and the functions that fill
// them from JSON, checked.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.hpp"
#include "base/log.hpp"
#include "base/result.hpp"

namespace waxwingvalve::schema
{

struct platform_settings
{
    base::endpoint table{};
    base::endpoint object_store{};
    base::endpoint vm_list{};
};

struct peer_settings
{
    std::string name{};
    std::string region{};
    std::string zone{};
    base::endpoint caller_address{};
    base::endpoint peer_address{};
};

struct limit_settings
{
    std::size_t connections{};
    std::uint32_t head_bytes{};
    std::uint64_t body_bytes{};
    std::chrono::milliseconds receive_time{};
    std::chrono::milliseconds idle_time{};
    std::chrono::milliseconds send_time{};
};

// Invariant: names are not empty, and no peer has this daemon's name.
struct daemon_settings
{
    std::string name{};
    std::string region{};
    std::string zone{};
    base::endpoint caller_address{};
    base::endpoint peer_address{};
    base::endpoint operator_address{};
    platform_settings platform{};
    std::vector<peer_settings> peers{};
    limit_settings limits{};
    base::log_level log_level{base::log_level::info};
    // Empty when signatures are not checked.
    std::string operator_keys_file{};
};

struct operator_settings
{
    std::string operator_name{};
    // File with the operator's key; relative to the working folder.
    std::string key_file{};
    platform_settings platform{};
    std::vector<base::endpoint> daemons{};
};

// Errors: settings_malformed, settings_invalid.
base::result<daemon_settings> parse_daemon_settings(std::string_view json);
base::result<operator_settings> parse_operator_settings(std::string_view json);

// The whole text of a file. Errors: settings_unreadable.
base::result<std::string> read_file(const std::string& path);

} // namespace waxwingvalve::schema
