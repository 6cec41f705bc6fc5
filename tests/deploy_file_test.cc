#include "platform/deploy_file.h"

#include <doctest/doctest.h>

#include <boost/json/parse.hpp>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>

#include "platform/settings_template.h"

namespace bramleyspoke::Platform {
namespace {

std::filesystem::path Root() {
  const char* root = std::getenv("BRAMLEYSPOKE_SOURCE");
  REQUIRE(root != nullptr);
  return root;
}

std::string ReadFile(const std::string& name) {
  std::ifstream stream(Root() / name);
  REQUIRE(stream);
  return std::string(std::istreambuf_iterator<char>(stream), {});
}

std::string Render(const std::string& text, const std::string& fields) {
  return RenderTemplate(text, boost::json::parse(fields)).value();
}

std::string ProblemsOf(const std::string& deploy_file) {
  return ToString(CheckDeployFile(
      deploy_file, Root(),
      boost::json::parse(ReadFile("examples/platform-fields.json"))));
}

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  const auto at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

}  // namespace

TEST_CASE("placeholders and sections are filled from the fields") {
  struct Row {
    const char* text;
    const char* fields;
    const char* expected;
  };
  const Row rows[] = {
      {"a{{x}}b", R"({"x":"y"})", "ayb"},
      {"{{x.y.1}}", R"({"x":{"y":[1,2]}})", "2"},
      {"{{x}}", R"({"x":["a","b"]})", "a,b"},
      {"{{x|json}}", R"({"x":["a"]})", R"(["a"])"},
      {"<{{x}}>", R"({})", "<>"},
      {"{{#x}}{{@}}={{.}}{{,}}{{/x}}", R"({"x":{"a":1,"b":2}})", "a=1,b=2"},
      {"{{#x}}{{n}}{{y}};{{/x}}", R"({"y":7,"x":[{"n":1},{"n":2}]})", "17;27;"},
      {"{{#x}}yes{{/x}}{{^x}}no{{/x}}", R"({"x":true})", "yes"},
      {"{{#x}}yes{{/x}}{{^x}}no{{/x}}", R"({"x":false})", "no"},
      {"{{#x}}yes{{/x}}{{^x}}no{{/x}}", R"({})", "no"},
      {"{{#x}}{{#y}}{{.}}{{/y}}{{/x}}", R"({"x":[],"y":[1]})", ""},
  };
  for (const Row& row : rows) {
    CAPTURE(row.text);
    CHECK(Render(row.text, row.fields) == row.expected);
  }
  for (const char* broken : {"{{#x}}", "{{/x}}", "{{#x}}{{/y}}"}) {
    CAPTURE(broken);
    CHECK_FALSE(Check([&] {
                  return RenderTemplate(broken, boost::json::parse("{}"));
                }).value);
  }
}

TEST_CASE("the deploy file and its template are valid") {
  CHECK(ProblemsOf(ReadFile("deploy/system.toml")) == "");
}

TEST_CASE("each problem of a deploy file is reported with its path") {
  const std::string valid = ReadFile("deploy/system.toml");
  struct Row {
    const char* from;
    const char* to;
    const char* path;
  };
  const Row rows[] = {
      {"build =", "built =", "build"},
      {"run = \"target/", "run = \"/bin/", "roles.relay.run"},
      {"share = 1.0", "share = 1.5", "roles.relay.share"},
      {"share = 1.0", "share = 1.0\ncount = 1", "roles.relay"},
      {"\"directory\"", "\"phonebook\"", "roles.relay.serves"},
      {"\"directory\"", "\"front\"", "roles.relay.serves"},
      {"settings.template.json", "none.json", "roles.relay.template"},
      {"settings.template.json", "system.toml", "roles.relay.template"},
      {"[roles.relay]", "[role.relay]", "roles"},
      {"build =", "= build", "line 1"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.to);
    CHECK(ProblemsOf(Replaced(valid, row.from, row.to)).find(row.path) == 0);
  }
}

}  // namespace bramleyspoke::Platform
