#ifndef GALENARELAY_TESTS_ODD_DOCUMENTS_H
#define GALENARELAY_TESTS_ODD_DOCUMENTS_H

#include "galenarelay/common/log.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <string>
#include <unistd.h>
#include <utility>
#include <vector>

namespace galenarelay::tests {

/// JSON text of arrays within arrays.
inline std::string nestedArrays(std::size_t Depth) {
  return std::string(Depth, '[') + std::string(Depth, ']');
}

/// JSON texts that other writers leave in place of a whole number of at most 16 bits.
inline std::vector<std::string> oddNumbers() {
  return {"true", "-1",     "2.5", "-0.5", "70000000000000000000", "9e18", "1e400", "-1e400",
          "null", R"("4")", "[]",  "{}",   nestedArrays(200'000)};
}

/// JSON texts in place of a string.
inline std::vector<std::string> oddTexts() {
  return {"true", "4", "1e400", "null", R"(["a"])", "{}", nestedArrays(200'000)};
}

/// The document's text with JSON text in place of one value.
inline std::string withOdd(nlohmann::json Document, const std::string &Path,
                           const std::string &Odd) {
  constexpr const char *Placeholder = "placeholder of the odd value";
  Document[nlohmann::json::json_pointer(Path)] = Placeholder;
  std::string Text = Document.dump();
  const std::string Quoted = nlohmann::json(Placeholder).dump();
  return Text.replace(Text.find(Quoted), Quoted.size(), Odd);
}

/// The log lines of this process while the object exists, from warnings on.
class CapturedLog {
public:
  CapturedLog() : File(std::tmpfile()), Output(::dup(STDOUT_FILENO)) {
    std::fflush(stdout);
    common::configureLog("galenarelay-tests", common::LogLevel::Warning);
    ::dup2(::fileno(File), STDOUT_FILENO);
  }
  CapturedLog(const CapturedLog &) = delete;
  CapturedLog &operator=(const CapturedLog &) = delete;
  ~CapturedLog() {
    common::configureLog("galenarelay-tests", common::LogLevel::Error);
    ::dup2(Output, STDOUT_FILENO);
    ::close(Output);
    std::fclose(File);
  }

  /// Number of lines of this event so far.
  [[nodiscard]] std::size_t count(const std::string &Event) const {
    std::rewind(File);
    std::string Text;
    for (int C = std::fgetc(File); C != EOF; C = std::fgetc(File))
      Text += static_cast<char>(C);
    const std::string Wanted = R"("event":")" + Event + '"';
    std::size_t Found = 0;
    for (auto At = Text.find(Wanted); At != std::string::npos; At = Text.find(Wanted, At + 1))
      ++Found;
    return Found;
  }

private:
  std::FILE *File;
  int Output;
};

} // namespace galenarelay::tests

#endif // GALENARELAY_TESTS_ODD_DOCUMENTS_H
