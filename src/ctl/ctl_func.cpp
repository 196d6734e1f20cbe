/** @file ctl_func.cpp Common options and the course of one run. */

#include "ctl/ctl_func.h"

#include "ctl/ctl_output.h"
#include "network/http_client.h"

#include <CLI/CLI.hpp>
#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <memory>
#include <optional>
#include <random>

#include <pwd.h>
#include <unistd.h>

namespace Filbertlanding {

namespace {

    constexpr std::size_t MinKeyBytes = 16; ///< The daemon takes no shorter key either.

    std::optional<HttpAddress> parseDaemon(std::string_view text)
    {
        const std::size_t colon = text.rfind(':');
        if (colon == std::string_view::npos) {
            return std::nullopt;
        }
        std::string_view host = text.substr(0, colon);
        const std::string_view port = text.substr(colon + 1);
        if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
            host = host.substr(1, host.size() - 2);
        }
        HttpAddress address;
        boost::system::error_code error;
        address.address = boost::asio::ip::make_address(std::string(host), error).to_string();
        const auto end = std::from_chars(port.data(), port.data() + port.size(), address.port);
        if (error || end.ec != std::errc() || end.ptr != port.data() + port.size() || address.port == 0) {
            return std::nullopt;
        }
        return address;
    }

    /** 128 random bits: two changes of two operators never share an id. */
    OperationId randomOperation()
    {
        std::random_device device;
        std::string text = "ctl-";
        for (int i = 0; i < 4; ++i) {
            char part[9];
            std::snprintf(part, sizeof part, "%08x", static_cast<unsigned>(device()));
            text += part;
        }
        return text;
    }

    /** Reads the operator key. Returns a sentence for a fault. */
    std::string readKey(const std::string &path, std::string &key)
    {
        std::ifstream file(path, std::ios::binary);
        key.assign(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
        if (!file.is_open() || file.bad()) {
            return "cannot read the key file " + path;
        }
        while (!key.empty() && (key.back() == '\n' || key.back() == '\r' || key.back() == ' ')) {
            key.pop_back();
        }
        const bool hasControl = std::any_of(key.begin(), key.end(), [](char byte) {
            return static_cast<unsigned char>(byte) < 0x20;
        });
        if (key.size() < MinKeyBytes || hasControl) {
            return "the key in " + path + " must be one line of at least " + std::to_string(MinKeyBytes) + " bytes";
        }
        return {};
    }

    std::string userName()
    {
        for (const char *name : {"USER", "LOGNAME"}) {
            const char *value = std::getenv(name);
            if (value != nullptr && *value != '\0') {
                return value;
            }
        }
        // Services and containers often start programs without these variables.
        const passwd *user = getpwuid(getuid());
        return user == nullptr ? std::string() : std::string(user->pw_name);
    }

    /** Checks the common options and opens the client. */
    ResultCode openContext(CtlContext &context)
    {
        for (const std::string &text : context.options.daemons) {
            const auto address = parseDaemon(text);
            if (!address) {
                return writeError(context, ResultCode::BadAddress, "--daemon " + text + " is not an IP number and port, for example 10.1.0.5:8100");
            }
            context.daemons.push_back(*address);
        }
        const auto hasControl = [](const std::string &text) {
            return std::any_of(text.begin(), text.end(), [](char byte) {
                return static_cast<unsigned char>(byte) < 0x20;
            });
        };
        // Both become headers, which a line feed would end.
        if (hasControl(context.options.operatorName) || hasControl(context.options.operationId)) {
            return writeError(context, ResultCode::OutOfRange, "--operator and --operation-id must have no control characters");
        }
        if (!context.options.keyFile.empty()) {
            const std::string fault = readKey(context.options.keyFile, context.key);
            if (!fault.empty()) {
                return writeError(context, ResultCode::NotFound, fault);
            }
        }
        context.operation = context.options.operationId.empty() ? randomOperation() : context.options.operationId;
        context.counters = std::make_unique<NetworkCounters>();
        HttpClientSettings settings;
        settings.maxConnectionsPerTarget = 1;
        settings.silentTimeout = context.options.timeout;
        context.client = std::make_unique<HttpClient>(settings, *context.counters);
        return ResultCode::Ok;
    }

    void addCommonOptions(CLI::App &app, CtlContext &context, std::int64_t &timeoutSeconds)
    {
        CtlOptions &options = context.options;
        options.daemons = {"127.0.0.1:8100"};
        options.operatorName = userName();
        app.add_option("--daemon", options.daemons, "IP:PORT of a daemon; may be given several times, the next one is tried when one does not answer")
            ->allow_extra_args(false)
            ->delimiter(',')
            ->envname("FILBERTCTL_DAEMON")
            ->capture_default_str();
        app.add_option("--key-file", options.keyFile, "file with the operator key")->envname("FILBERTCTL_KEY_FILE");
        app.add_flag("--json", options.json, "write JSON for programs");
        app.add_option("--operator", options.operatorName, "name for the history of changes")->capture_default_str();
        app.add_option("--operation-id", options.operationId, "id of the change; give that of an earlier try to send the same change again");
        app.add_option("--if-version", options.ifVersion, "configuration version that the change is based on; default: the one read just before");
        app.add_option("--timeout", timeoutSeconds, "time in seconds for one call with all its tries")->check(CLI::Range(1, 3600))->capture_default_str();
    }

} // namespace

CtlContext::CtlContext(CtlStreams where)
    : streams(std::move(where))
{
}

CtlContext::~CtlContext() = default;

CLI::App *addCommand(CLI::App &parent, const std::string &name, const std::string &description, const std::string &example)
{
    CLI::App *command = parent.add_subcommand(name, description);
    command->footer("Example:\n  " + example);
    return command;
}

int exitCodeOf(ResultCode code)
{
    return static_cast<int>(code) / 1000;
}

int runCtl(const std::vector<std::string> &arguments, const CtlStreams &streams)
{
    CtlContext context(streams);
    std::int64_t timeoutSeconds = context.options.timeout.ms / 1000;
    CLI::App app{"Command-line tool of the filbertlanding scheduler", "filbertctl"};
    app.footer("Example:\n  filbertctl --daemon 10.1.0.5:8100 --daemon 10.2.0.5:8100 --key-file operator.key status");
    app.require_subcommand(1);
    // Common options may stand behind a subcommand; subcommands inherit this setting when they are added.
    app.fallthrough();
    addCommonOptions(app, context, timeoutSeconds);
    for (const std::string &name : CtlCommands::names()) {
        (*CtlCommands::find(name))(app, context);
    }
    try {
        // CLI11 takes the arguments from the back.
        app.parse(std::vector<std::string>(arguments.rbegin(), arguments.rend()));
    } catch (const CLI::ParseError &error) {
        const int code = app.exit(error, streams.out, streams.err);
        return code == 0 ? 0 : exitCodeOf(ResultCode::BadRequest);
    }
    context.options.timeout = {timeoutSeconds * 1000};
    const ResultCode opened = openContext(context);
    if (opened != ResultCode::Ok) {
        return exitCodeOf(opened);
    }
    return exitCodeOf(context.action());
}

} // namespace Filbertlanding
