#include "call_graph.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/strings/str_cat.h"
#include "acaciasill/model/validation.h"

namespace acaciasill::model {
namespace {

using support::result_code;

// A depth-first walk over the call graph with its own stack, since a hostile set may be one long
// chain.
class call_graph_walk {
public:
  call_graph_walk(const configuration& set, finding_log& log) : log_(log) {
    for (const auto& each : set.services) {
      nodes_.push_back({&each, {}, {}, 0, nullptr});
      index_.emplace(each.name, nodes_.size() - 1);
    }
    for (auto& each : nodes_) {
      for (const auto& callee : each.object->calls) {
        if (const auto found = index_.find(callee); found != index_.end()) {
          each.callees.push_back(found->second);
        }
      }
    }
  }

  void run() {
    for (std::size_t start = 0; start < nodes_.size(); ++start) {
      if (nodes_[start].state == visit::unseen) {
        walk_from(start);
      }
    }
    if (!has_cycle_) {
      report_depth();
    }
  }

private:
  enum class visit { unseen, open, closed };

  struct node {
    const service* object = nullptr;
    std::vector<std::size_t> callees;
    visit state = visit::unseen;
    // The number of services of the longest chain that starts here, and its next one.
    std::size_t depth = 0;
    const node* deepest = nullptr;
  };

  struct frame {
    std::size_t node = 0;
    std::size_t next_callee = 0;
  };

  void walk_from(std::size_t start) {
    std::vector<frame> path;
    open(path, start);
    while (!path.empty()) {
      auto& [index, next] = path.back();
      node& current = nodes_[index];
      if (next == current.callees.size()) {
        close(current);
        path.pop_back();
        continue;
      }
      const std::size_t callee = current.callees[next++];
      if (nodes_[callee].state == visit::unseen) {
        open(path, callee);
        continue;
      }
      if (nodes_[callee].state == visit::open) {
        report_cycle(path, callee);
      }
    }
  }

  void open(std::vector<frame>& path, std::size_t index) {
    nodes_[index].state = visit::open;
    path.push_back({index, 0});
  }

  void close(node& current) {
    current.state = visit::closed;
    current.depth = 1;
    for (const auto callee : current.callees) {
      if (nodes_[callee].depth + 1 > current.depth) {
        current.depth = nodes_[callee].depth + 1;
        current.deepest = &nodes_[callee];
      }
    }
  }

  void report_cycle(const std::vector<frame>& path, std::size_t callee) {
    has_cycle_ = true;
    const auto start = std::find_if(path.begin(), path.end(),
                                    [callee](const frame& each) { return each.node == callee; });
    std::string text;
    for (auto step = start; step != path.end(); ++step) {
      absl::StrAppend(&text, nodes_[step->node].object->name, " -> ");
    }
    text += nodes_[callee].object->name;
    log_.add(object_kind::service, nodes_[path.back().node].object->name, "calls",
             result_code::call_cycle, text);
  }

  // Names each service that starts a chain that is too deep and that no other service calls.
  void report_depth() {
    std::vector<bool> called(nodes_.size(), false);
    for (const auto& each : nodes_) {
      for (const auto callee : each.callees) {
        called[callee] = true;
      }
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (called[i] || nodes_[i].depth <= max_call_depth) {
        continue;
      }
      std::string text = absl::StrCat(nodes_[i].depth, " services, at most ", max_call_depth, ":");
      for (const node* step = &nodes_[i]; step != nullptr; step = step->deepest) {
        absl::StrAppend(&text, " ", step->object->name);
      }
      log_.add(object_kind::service, nodes_[i].object->name, "calls", result_code::call_depth,
               text);
    }
  }

  finding_log& log_;
  std::vector<node> nodes_;
  std::map<std::string_view, std::size_t> index_;
  bool has_cycle_ = false;
};

} // namespace

void check_call_graph(const configuration& set, finding_log& log) {
  call_graph_walk(set, log).run();
}

} // namespace acaciasill::model
