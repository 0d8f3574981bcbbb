// Command-line parsing shared by the programs.
#pragma once

#include <string>
#include <vector>

namespace lovage {

// Exit codes of every program. Abseil exits with 1 on an unknown flag.
constexpr int exitSuccess = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

// Parses Abseil flags. --help prints the usage and the flags defined in `<name>/main.cpp`, and
// --version prints the name and version. Returns the arguments that are not flags.
std::vector<std::string> parseCommandLine(const std::string &name, const std::string &usage,
                                          int argc, char **argv);

// Has the allocator return large blocks to the system when they are freed. By default, its
// threshold rises to the size of the largest block that was freed, and the memory of a peak is
// kept.
void returnFreedMemory();

} // namespace lovage
