#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>

#include <yaml-cpp/eventhandler.h>

#include "absl/strings/str_cat.h"
#include "acaciasill/model/settings_reader.h"

namespace acaciasill::model {
namespace {

using support::result_code;

// Thrown to abort the YAML parser when a text exceeds a limit.
struct limit_exceeded : std::runtime_error {
  limit_exceeded(int line_number, const std::string& text)
      : std::runtime_error(text), line(line_number) {}

  int line;
};

// Checks a text against the limits while it is parsed, without building a document tree.
class limit_checker : public YAML::EventHandler {
public:
  void OnDocumentStart(const YAML::Mark& /*mark*/) override { depth_ = 0; }
  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override { count_node(mark, anchor); }

  void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override {
    throw limit_exceeded(mark.line + 1, "anchors and aliases are not supported");
  }

  void OnScalar(const YAML::Mark& mark, const std::string& /*tag*/, YAML::anchor_t anchor,
                const std::string& /*value*/) override {
    count_node(mark, anchor);
  }

  void OnSequenceStart(const YAML::Mark& mark, const std::string& /*tag*/, YAML::anchor_t anchor,
                       YAML::EmitterStyle::value /*style*/) override {
    enter_collection(mark, anchor);
  }
  void OnSequenceEnd() override { --depth_; }

  void OnMapStart(const YAML::Mark& mark, const std::string& /*tag*/, YAML::anchor_t anchor,
                  YAML::EmitterStyle::value /*style*/) override {
    enter_collection(mark, anchor);
  }
  void OnMapEnd() override { --depth_; }

private:
  void enter_collection(const YAML::Mark& mark, YAML::anchor_t anchor) {
    count_node(mark, anchor);
    if (++depth_ > max_yaml_depth) {
      throw limit_exceeded(mark.line + 1,
                           absl::StrCat("nested deeper than ", max_yaml_depth, " levels"));
    }
  }

  void count_node(const YAML::Mark& mark, YAML::anchor_t anchor) {
    if (anchor != YAML::NullAnchor) {
      throw limit_exceeded(mark.line + 1, "anchors and aliases are not supported");
    }
    if (++nodes_ > max_yaml_nodes) {
      throw limit_exceeded(mark.line + 1, absl::StrCat("more than ", max_yaml_nodes, " values"));
    }
  }

  std::size_t depth_ = 0;
  std::size_t nodes_ = 0;
};

void check_limits(const std::string& text) {
  std::istringstream stream(text);
  YAML::Parser parser(stream);
  limit_checker checker;
  while (parser.HandleNextDocument(checker)) {
  }
}

} // namespace

std::string format_finding(const finding& problem) {
  std::string line = problem.file;
  if (problem.line > 0) {
    absl::StrAppend(&line, ":", problem.line);
  }
  line += ": ";
  if (!problem.object.empty()) {
    absl::StrAppend(&line, problem.object, ": ");
  }
  if (!problem.key.empty()) {
    absl::StrAppend(&line, problem.key, ": ");
  }
  absl::StrAppend(&line, support::format_code(problem.code), " ",
                  std::string(support::describe(problem.code).text));
  if (!problem.text.empty()) {
    absl::StrAppend(&line, ": ", problem.text);
  }
  return line;
}

std::vector<YAML::Node> parse_yaml(const std::string& file, const std::string& text,
                                   std::vector<finding>& findings) {
  if (text.size() > max_yaml_bytes) {
    findings.push_back({file, 0, "", "", result_code::bad_yaml,
                        absl::StrCat("larger than ", max_yaml_bytes, " bytes")});
    return {};
  }
  try {
    check_limits(text);
    return YAML::LoadAll(text);
  } catch (const limit_exceeded& error) {
    findings.push_back({file, error.line, "", "", result_code::bad_yaml, error.what()});
  } catch (const YAML::Exception& error) {
    findings.push_back({file, error.mark.line + 1, "", "", result_code::bad_yaml, error.msg});
  }
  return {};
}

std::optional<std::string> read_bounded_file(const std::string& path,
                                             std::vector<finding>& findings) {
  std::ifstream stream(path, std::ios::binary);
  std::string text(max_yaml_bytes + 1, '\0');
  if (stream) {
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
  }
  if (!stream.is_open() || stream.bad() || (stream.fail() && !stream.eof())) {
    findings.push_back({path, 0, "", "", result_code::file_not_readable, ""});
    return std::nullopt;
  }
  text.resize(static_cast<std::size_t>(stream.gcount()));
  return text;
}

std::vector<finding> read_settings_file(const std::string& path,
                                        const std::function<void(settings_reader&)>& read) {
  std::vector<finding> findings;
  const auto text = read_bounded_file(path, findings);
  if (!text) {
    return findings;
  }
  const auto documents = parse_yaml(path, *text, findings);
  if (!findings.empty()) {
    return findings;
  }
  if (documents.size() > 1) {
    findings.push_back({path, documents[1].Mark().line + 1, "", "", result_code::bad_yaml,
                        "only one document is expected"});
    return findings;
  }
  settings_reader reader(path, documents.empty() ? YAML::Node() : documents.front());
  read(reader);
  return reader.finish();
}

void print_findings(const std::vector<finding>& findings) {
  for (const auto& problem : findings) {
    std::cerr << format_finding(problem) << '\n';
  }
}

} // namespace acaciasill::model
