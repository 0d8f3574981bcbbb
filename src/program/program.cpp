#include "lovage/program.h"

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <malloc.h>

namespace lovage {

std::vector<std::string> parseCommandLine(const std::string &name, const std::string &usage,
                                          int argc, char **argv)
{
    const auto isMainFile = [suffix = name + "/main.cpp"](absl::string_view file) {
        return file.find(suffix) != absl::string_view::npos;
    };
    absl::FlagsUsageConfig config;
    config.version_string = [name] { return name + " " LOVAGE_VERSION "\n"; };
    config.contains_helpshort_flags = isMainFile;
    config.contains_help_flags = isMainFile;
    absl::SetFlagsUsageConfig(config);
    absl::SetProgramUsageMessage(usage);
    const std::vector<char *> arguments = absl::ParseCommandLine(argc, argv);
    return {arguments.begin() + 1, arguments.end()};
}

void returnFreedMemory()
{
    constexpr int smallestReturnedBlock = 128 << 10;
    mallopt(M_MMAP_THRESHOLD, smallestReturnedBlock);
}

} // namespace lovage
