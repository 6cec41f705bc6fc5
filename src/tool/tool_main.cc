#include <exception>
#include <iostream>

#include "tool/exit_code.h"
#include "tool/tool.h"

int main(int count, char** words) {
  try {
    return bramleyspoke::RunTool({words + 1, words + count}, std::cout,
                                 std::cerr);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return static_cast<int>(bramleyspoke::ExitCode::kInternalError);
  }
}
