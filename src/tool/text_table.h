#pragma once

#include <string>
#include <vector>

namespace bramleyspoke {

/// Rows of words in columns as wide as their widest word.
class TextTable {
 public:
  using Row = std::vector<std::string>;

  explicit TextTable(Row head);
  void Add(Row row);
  std::string Text() const;

 private:
  std::vector<Row> m_rows;
};

}  // namespace bramleyspoke
