// Command line set-up that the programs share.
#pragma once

#include <string>
#include <vector>

namespace lovage {

// Exit codes of every program. A flag that Abseil does not know exits with 1.
constexpr int exitSuccess = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

// Parses Abseil flags, answers --help with the usage and the flags defined in `<name>/main.cpp`,
// and --version with the name and version. Returns the arguments that are not flags.
std::vector<std::string> parseCommandLine(const std::string &name, const std::string &usage,
                                          int argc, char **argv);

} // namespace lovage
