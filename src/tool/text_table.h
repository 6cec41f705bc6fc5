#pragma once

#include <string>
#include <vector>

namespace bramleyspoke {

/// A text table whose columns are as wide as their widest cell.
class TextTable {
 public:
  using Row = std::vector<std::string>;

  explicit TextTable(Row header);
  void Add(Row row);
  std::string Text() const;

 private:
  std::vector<Row> m_rows;
};

}  // namespace bramleyspoke
