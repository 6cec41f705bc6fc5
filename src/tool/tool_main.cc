#include <exception>
#include <iostream>

#include "tool/exit_code.h"
#include "tool/tool.h"

int main(int argument_count, char** arguments) {
  try {
    return bramleyspoke::RunTool({arguments + 1, arguments + argument_count},
                                 std::cout, std::cerr);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return static_cast<int>(bramleyspoke::ExitCode::kInternalError);
  }
}
