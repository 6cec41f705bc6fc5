#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace bramleyspoke {

/// Runs the command line `arguments`, which starts after the program's name,
/// and returns the exit status.
int RunTool(const std::vector<std::string>& arguments,
            std::ostream& out,
            std::ostream& error);

}  // namespace bramleyspoke
